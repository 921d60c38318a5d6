"""The forwarders: thin code between sockets and the planner."""
