"""Service files, daemon settings and the checks of both."""
