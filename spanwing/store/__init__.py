"""A small replicated store.

Its registers are changed by compare-and-set with a majority of the members, after CASPaxos
(arXiv:1802.07000). One register holds a document, which one member at a time, the leader, changes and
distributes to the schedulers together with their leases.
"""
