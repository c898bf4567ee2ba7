"""Measurements: each prints one table and takes its seed as an argument."""
