"""What routers send each other about their load. Pure: time and seed are passed in."""
