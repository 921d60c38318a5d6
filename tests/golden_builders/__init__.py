"""Deterministic builders of the golden samples, one module per wire or store."""
