"""Contract priorities: which calls are rejected or preempted first while the fleet is overloaded.

All modules are pure: the caller passes the time.
"""
