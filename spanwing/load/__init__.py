"""Load on real schedulers, over sockets: open-loop arrivals from a scenario's clients."""
