"""The replicated store: entries that all routers hold alike, by anti-entropy. Pure: time is passed in."""
