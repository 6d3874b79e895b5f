"""spanwing: a scheduler that dispatches jobs to workers."""
