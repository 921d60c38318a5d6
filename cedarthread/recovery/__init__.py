"""Restart recovery: what a router that restarted asks, believes and holds back. Pure: time is passed in."""
