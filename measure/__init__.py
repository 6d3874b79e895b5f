"""Measurements against real daemons on loopback. Each module's docstring says what it measures, and its command."""
