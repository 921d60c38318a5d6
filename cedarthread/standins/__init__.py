"""Small stand-ins for what the function router talks to, written from the platform's protocol page."""
