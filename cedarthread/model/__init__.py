"""Data types shared by all packages: settings, endpoints, events, outcomes and actions; no logic."""
