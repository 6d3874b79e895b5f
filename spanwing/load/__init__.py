"""A load on real schedulers, over sockets: arrivals that wait for no answer, from a scenario's clients."""
