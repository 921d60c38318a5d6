"""Many processes of the program on loopback, a network of faults between them, and a judge."""
