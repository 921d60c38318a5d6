"""Stand-ins of the second review: clients, workers, discovery, and the processes of the router."""
