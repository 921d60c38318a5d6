"""Quota escrow: reserved amounts of totals that the fleet shares. Pure: time is passed in."""
