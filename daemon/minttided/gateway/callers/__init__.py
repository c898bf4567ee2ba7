"""Requests of callers, plain services behind them, and the answers about addresses."""
