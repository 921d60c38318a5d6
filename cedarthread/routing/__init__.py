"""Routing decisions of one router: worker selection, admission, retries, preloading, and their estimators."""
