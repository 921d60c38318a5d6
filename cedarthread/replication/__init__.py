"""Replicated operator entries: an anti-entropy store of which every router has a full copy.

The package opens no socket and reads no clock: callers pass times as arguments and send the returned
datagrams. Design and proof: docs/design/replication.md.
"""
