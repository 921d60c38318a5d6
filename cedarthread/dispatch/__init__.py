"""The protocol-independent handling of calls and attempts by a dispatcher that hosts the routing node."""
