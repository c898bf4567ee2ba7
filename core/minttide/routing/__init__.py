"""Routing of HTTP requests: routes, client accounts, upstreams and the outcome of an exchange."""
