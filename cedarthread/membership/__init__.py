"""Which of the configured routers are there: pure, on a clock and a seed that are handed in."""
