"""Measurements against real daemons on loopback.

The docstring of each module says what it measures, and gives the command that runs it.
"""
