"""Listeners: the platform's HTTP, Faktory, balancers, administration."""
