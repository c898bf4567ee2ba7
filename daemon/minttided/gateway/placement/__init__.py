"""Orders to engines, by the one host that holds the lease."""
