"""Discovery: polls the DNS server for the list of worker endpoints, and decides which list is in use."""
