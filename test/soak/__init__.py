"""A soak test of real gateway processes: injects external faults and checks invariants."""
