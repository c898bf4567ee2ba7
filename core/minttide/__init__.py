"""Decisions, records and checks of the minttide router. Nothing in this package does I/O."""

__version__ = "0.1.0"
