"""The minttide daemon, one process on each entry host."""
