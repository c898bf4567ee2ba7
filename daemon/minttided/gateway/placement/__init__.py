"""Places model layers on engines; done by the one host that holds the lease."""
