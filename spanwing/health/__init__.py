"""Computes the health state and weight that a scheduler reports to load balancers.

Nothing in this package does I/O or reads a clock: callers pass in the time and the signals.
"""
