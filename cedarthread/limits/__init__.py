"""What a router may take on: pure, on a clock that is handed in. The decisions read small values of it."""
