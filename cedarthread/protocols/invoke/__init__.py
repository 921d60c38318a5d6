"""The invoke API: calls over HTTP and TLS, synchronous and deferred, with SPIFFE identities."""
