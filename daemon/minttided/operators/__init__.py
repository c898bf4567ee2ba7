"""The operators' listener, status, metrics and log lines."""
