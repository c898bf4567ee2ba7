"""Measurements: each module prints one table, from the seed that it is given."""
