"""Which of the configured routers are alive, by SWIM: on a clock and a seed that are passed in."""
