"""Persistence: what a router keeps on disk for its next incarnation, and what of it a restart may believe.

Nothing here lets the event loop wait for a disk, and nothing trusts one: see docs/design/store.md.
"""
