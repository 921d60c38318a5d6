"""Restart recovery: how a router that has just started relearns warm instances and limits its own load.

The package is pure: no sockets, no disk, no clock. Each ``now_ms`` is a time in milliseconds on the steady
clock of the process.
"""
