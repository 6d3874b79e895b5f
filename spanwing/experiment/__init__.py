"""Experiments on the model: a matrix of scenarios, variants, seeds and builds, kept, compared and shown."""
