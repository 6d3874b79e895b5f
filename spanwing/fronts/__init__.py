"""Whatever listens for others: the platform, Faktory speakers, balancers."""
