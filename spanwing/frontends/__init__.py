"""Frontends and listeners: the platform's HTTP, Faktory, load balancers, management and administration."""
