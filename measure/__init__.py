"""Measurements against real daemons on loopback; each module's head says what it shows, and its command."""
