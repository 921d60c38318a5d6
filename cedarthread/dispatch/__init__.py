"""Calls, attempts and their results: the dispatcher hosts the routing node and depends on no protocol."""
