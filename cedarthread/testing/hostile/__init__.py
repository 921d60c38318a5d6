"""Hostile clients for real router processes: floods, and the memory and latency that they cost."""
