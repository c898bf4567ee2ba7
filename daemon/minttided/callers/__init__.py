"""The callers' listener: discovery of entry hosts, accounts and calls of plain services."""
