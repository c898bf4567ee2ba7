"""Synchronization between hosts: configuration, list of upstreams, and loads."""
