"""Deterministic builders of the golden samples, one module per wire format or kind of stored data."""
