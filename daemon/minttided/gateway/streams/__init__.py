"""Streams along paths of engines: sending, silence checks, moving to other engines and resuming."""
