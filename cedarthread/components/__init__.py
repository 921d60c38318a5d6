"""The components beside the router: their interface, the node that hosts them, routing constraints."""
