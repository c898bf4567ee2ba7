"""Placement of model layers on engines that run whole paths, and the choice of a request's path."""
