"""Simulates the systems around the scheduler: deterministic, in simulated time.

Nothing here opens a socket, reads a clock or knows a wire format. Time is passed in, in milliseconds, and
randomness comes from named streams of one seed (random_streams.py), so the same seed gives the same run.
"""
