"""The demonstration: stand-ins, three daemons and a caller in one process and one event loop."""
