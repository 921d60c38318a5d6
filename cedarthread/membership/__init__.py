"""Which of the configured routers are alive (SWIM). Pure: time and seed are passed in."""
