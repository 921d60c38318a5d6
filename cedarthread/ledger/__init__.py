"""The ledger: it judges a run by what its peers saw of it, and knows nothing of how the router works.

It may be imported by ``fuzz``, drills and the lab. It imports nothing of this program, so that a mistake
in the planner or the decisions can't be repeated here.
"""
