"""The retry budget: tokens that requests earn and retries spend, so that retries add little to an overload.

After Finagle's retry budget (https://twitter.github.io/finagle/guide/Clients.html), without its expiry.
"""

from __future__ import annotations

RETRY_BUDGET_PER_REQUEST = 0.15  # retries earned by each request
MAX_RETRY_BUDGET = 10.0  # retries saved up at most; a router starts with them


class RetryBudget:
    """The tokens of one router; one pays a retry."""

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_BUDGET

    def earn(self, tokens: float = RETRY_BUDGET_PER_REQUEST) -> None:
        """A request came, or an attempt that was paid for never left the router."""
        self.tokens = min(self.tokens + tokens, MAX_RETRY_BUDGET)

    def spend(self, tokens: float) -> bool:
        """Pay for a retry; false, and nothing paid, where there is less."""
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True
