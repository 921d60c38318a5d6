"""Fuzzing: targets, the call machine, small worlds explored whole, and planted defects that must be found.

Nothing of the serving program may import this package; the command line loads it for ``cedarthread fuzz``.
"""
