"""Folds of platform log streams: configuration, idempotency keys, leases and placement plans."""
