"""Load tests of real schedulers over HTTP, with the open-loop arrivals of a scenario's clients."""
