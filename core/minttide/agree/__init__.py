"""Folds of the platform log: configuration, idempotency keys, leases and plans."""
