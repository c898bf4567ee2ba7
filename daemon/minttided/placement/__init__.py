"""Placement of layers on engines: the lease, the plan and the orders to engines."""
