"""ENUM look-ups over DNS: a server for DNS clients, and a client of upstream DNS servers."""
