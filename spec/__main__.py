"""Checks every specification and its broken variants."""
