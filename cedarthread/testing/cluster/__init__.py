"""Many processes of the program on loopback, injected network faults, and an evaluation of what happened."""
