"""The protocol towards workers: pooled connections that carry calls, preloads and unloads."""
