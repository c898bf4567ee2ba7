"""Engines that run single steps: clients, batches, reports and orders."""
