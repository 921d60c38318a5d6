"""Quota escrow: each router holds a part of every fleet-wide total and moves it by requests and grants.

No sockets and no clock of its own: times come in as arguments, datagrams go out as return values. Design and
proof: docs/design/grants.md and steps 14 to 17 of docs/design/register.md.
"""
