"""A harness that runs many router processes on loopback under injected faults and checks the invariants."""
