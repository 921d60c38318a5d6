"""Restart recovery: a router that has just started learns again which instances are warm and limits its load.

The package is pure: no sockets, no disk, no clock. Each ``now_ms`` is the current time in ms on the steady
clock of the process.
"""
