"""cedarthread: a router for functions that workers load on demand."""

__version__ = "0.2.0"
