"""Calls, attempts and their answers: the dispatcher hosts the routing decisions and knows no protocol."""
