"""Replicated operator entries: an anti-entropy store that every router holds a full copy of.

No sockets and no clock of its own: times come in as arguments, datagrams go out as return values. Design and
proof: docs/design/register.md.
"""
