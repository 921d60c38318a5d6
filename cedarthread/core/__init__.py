"""The planner: it owns requests, attempts, outcomes and time, and knows no wire."""
