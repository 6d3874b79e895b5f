"""Hostile crowds of clients at one real scheduler, with ordinary clients beside them."""
