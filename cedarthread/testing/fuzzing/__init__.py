"""Fuzz targets, the call machine on virtual time, model checking and injected defects."""
