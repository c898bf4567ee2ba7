"""Runs every measurement and prints its table."""
