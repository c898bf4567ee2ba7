"""The platform's log: reading, folding, checkpoints and publishing."""
