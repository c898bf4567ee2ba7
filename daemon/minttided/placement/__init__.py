"""Placement of layers on engines: the lease, the plan and its orders."""
