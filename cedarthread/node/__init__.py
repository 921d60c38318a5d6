"""The routing node: hosts the router and the components, and passes events and notifications between them."""
