"""A model of the systems that spanwing serves: pure, in simulated time, the same for the same seed.

Nothing here opens a socket, reads a clock or knows a wire; time is passed in, in milliseconds, and randomness
comes from named streams of one seed (random_streams.py).
"""
