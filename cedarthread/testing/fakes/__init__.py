"""Fakes of the systems that the router communicates with, based on the platform's protocol specification."""
