"""Persistence of a router's state across restarts, on a disk that may fail, hang or return wrong data.

The event loop never waits for the disk, and all content is verified when read: see
docs/design/persistence.md.
"""
