"""State that outlives the process, on a disk that may fail or return wrong data."""
