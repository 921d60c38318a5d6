"""The retry budget: tokens that requests earn and retries spend, so that retries do not amplify an overload.

Modelled on Finagle's retry budget (https://twitter.github.io/finagle/guide/Clients.html), without its expiry.
"""

from __future__ import annotations

RETRY_BUDGET_PER_REQUEST = 0.15  # tokens earned by each request
MAX_RETRY_BUDGET = 10.0  # maximum and initial number of tokens


class RetryBudget:
    """The retry tokens of one router; one token pays for one retry."""

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_BUDGET

    def earn(self, tokens: float = RETRY_BUDGET_PER_REQUEST) -> None:
        """Add tokens for a new request, or return those of an attempt that was never sent."""
        self.tokens = min(self.tokens + tokens, MAX_RETRY_BUDGET)

    def spend(self, tokens: float) -> bool:
        """Spend tokens on a retry; return False and spend none if too few are left."""
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True
