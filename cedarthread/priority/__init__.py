"""Contract priorities: which calls go first while the fleet is overloaded. Pure: time is passed in."""
