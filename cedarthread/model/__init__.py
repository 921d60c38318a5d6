"""The vocabulary that all other packages share: settings, endpoints, events, outcomes, actions. No logic."""
