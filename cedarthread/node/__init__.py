"""The routing node, which hosts one router and its components and passes events between them."""
