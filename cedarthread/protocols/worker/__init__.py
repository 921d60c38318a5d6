"""The worker protocol: pooled connections that carry calls, preloads and unloads."""
