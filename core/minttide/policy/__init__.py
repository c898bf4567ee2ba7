"""Routing, placement, admission and recovery decisions, free of I/O."""
