"""The platform log: followers, checkpoints and publishing."""
