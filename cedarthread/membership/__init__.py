"""Router membership by SWIM: detects which of the configured routers are alive, without I/O or a clock."""
