"""The command line; click is loaded here and nowhere else."""
