"""The callers' listener: where to connect, accounts and plain calls."""
