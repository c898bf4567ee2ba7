"""The operators command line."""
