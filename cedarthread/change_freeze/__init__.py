"""Change freezes: time windows in which placements must not change, and the gate that enforces them."""
