"""The adapter that hosts many routers on the operators' simulator, and its codec."""
