"""Change freezes: windows in which no placement changes, and the admission gate for placement changes."""
