"""spanwing: a scheduler that forwards jobs to workers."""
