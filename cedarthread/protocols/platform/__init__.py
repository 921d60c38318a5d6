"""The platform's protocol: clients submit calls over TCP connections."""
