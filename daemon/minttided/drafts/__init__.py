"""Drafts: admission, running along a chain, recovery and resumption."""
