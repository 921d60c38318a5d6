"""Replicated operator entries: an anti-entropy store of which every router has a full copy.

The package has no sockets and no clock of its own: times are arguments, datagrams are return values. The
design and the proof of its guarantee are in docs/design/replication.md.
"""
