"""A soak of real gateway processes on this machine: faults from outside, promises checked."""
