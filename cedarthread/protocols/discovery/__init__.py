"""Discovery: polls the DNS server for the endpoint list of workers, and decides which list is in force."""
