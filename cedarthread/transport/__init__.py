"""Connections: accepting, buffering, flushing, and the budget of file descriptors."""
