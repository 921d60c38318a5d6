"""Small fakes of the systems that the router talks to, written from the platform's protocol page."""
