"""Restart recovery: what a router that has just started asks of its peers, believes, and may begin.

Pure: no sockets, no disk, no clock. ``now_ms`` is milliseconds on the process's steady clock throughout.
"""
