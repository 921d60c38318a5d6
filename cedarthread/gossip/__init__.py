"""Load gossip: routers send each other their in-flight calls and where they found warm instances."""
