"""Frontends and listeners: the platform's HTTP, Faktory, balancers, administration."""
