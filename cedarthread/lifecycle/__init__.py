"""The lifecycle of the service: composition, listeners, endpoint updates, status, reload and shutdown."""
