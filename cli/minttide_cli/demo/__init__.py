"""The demo: stand-ins, three daemons and callers in one process and one event loop."""
