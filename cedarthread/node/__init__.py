"""The routing node, which hosts one router and its components and dispatches events to them."""
