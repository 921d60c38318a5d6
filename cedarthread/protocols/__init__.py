"""The network protocols: platform, workers, invoke API, discovery, control, peers."""
