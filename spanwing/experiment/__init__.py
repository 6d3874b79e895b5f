"""Experiments on the simulation: scenarios, variants, seeds and builds; played, compared and shown."""
