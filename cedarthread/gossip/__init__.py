"""Load gossip: routers send each other their in-flight calls and the instances that they found warm."""
