"""The platform protocol: clients submit calls over TCP connections."""
