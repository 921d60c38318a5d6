"""The protocols spoken on sockets: platform, workers, invoke API, discovery, control, peers."""
