"""Restart recovery: a router that has just started learns again which instances are warm.

Meanwhile it limits the rates at which it causes loads, connects to workers and sends queries. A load is the
start of an instance of a function at a worker, which reads the function from the package store.

The package is pure: no sockets, no disk, no clock. Each ``now_ms`` is the current time in ms on the monotonic
clock of the process.
"""
