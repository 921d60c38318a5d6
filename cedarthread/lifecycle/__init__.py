"""The lifecycle of the service: start of its listeners, status report, reload, maintenance and shutdown."""
