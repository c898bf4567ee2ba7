"""Layers of a model on engines that run whole paths: where they are held, and which way to take."""
