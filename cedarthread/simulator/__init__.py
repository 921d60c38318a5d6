"""The adapter that hosts many routers on the operators' simulator, and the codec of its frames."""
