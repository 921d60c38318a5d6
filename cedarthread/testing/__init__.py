"""Tools that test the program: fakes, a cluster of processes, invariant checks, fuzzing, model checking."""
