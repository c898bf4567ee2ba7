"""Calls with an idempotency key, at most once over all hosts."""
