"""Calls with an idempotency key, which run at most once across all hosts."""
