"""Streams through paths of engines: sent, watched, moved and resumed."""
