"""Runs many processes of the program on loopback under injected faults, and evaluates the recorded facts."""
