"""A small replicated store: compare-and-set registers by majority, after CASPaxos (arXiv:1802.07000)."""
