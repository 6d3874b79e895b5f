"""Stand-ins for the cases of the review: clients, job workers, discovery and links, on loopback only."""
