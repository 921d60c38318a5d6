"""What routers know of the whole beyond their own calls: pure, on a clock and a seed that are handed in."""
