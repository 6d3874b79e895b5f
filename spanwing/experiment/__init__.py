"""Experiments on the simulation: runs scenarios by variant, seed and build, and compares the results."""
