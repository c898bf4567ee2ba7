"""Handles requests of callers: routing, plain services, retry budgets and the directory."""
