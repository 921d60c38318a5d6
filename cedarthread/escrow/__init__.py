"""Quota escrow: each router owns a part of every fleet-wide total, and peers request and grant units of it.

A *count* is a pool of units that are consumed. A *rate* is a pool of units that are in use at one time and
that routers lease to each other.

The package opens no socket and reads no clock: callers pass times as arguments and send the returned
datagrams. Design and proof: docs/design/escrow.md, and steps 14 to 17 of docs/design/replication.md.
"""
