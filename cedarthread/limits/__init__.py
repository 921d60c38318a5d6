"""Limits on what clients can make one process hold or do; decision logic without I/O."""
