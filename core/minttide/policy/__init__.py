"""Routing, placement, limits and recovery decisions as pure functions."""
