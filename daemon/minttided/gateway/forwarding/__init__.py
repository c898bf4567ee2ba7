"""Requests that one host sends for another one, which is cut off from the upstreams."""
