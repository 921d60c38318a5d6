"""Stand-ins of the review: servers, resolver, clients, and the router as a separate process."""
