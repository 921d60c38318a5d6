"""Quota escrow: each router owns a part of every fleet-wide total, and peers request and grant units of it.

The package opens no socket and reads no clock: callers pass times as arguments and send the returned
datagrams. Design and proof: docs/design/escrow.md, and steps 14 to 17 of docs/design/replication.md.
"""
