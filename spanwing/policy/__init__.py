"""The fleet-wide policy: a change takes effect at every scheduler, or at none."""
