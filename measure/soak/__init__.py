"""A randomized fault soak: real scheduler processes, faults on every link, and an independent oracle."""
