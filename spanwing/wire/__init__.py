"""Sockets: HTTP, next hops, the transport map, and the fronts."""
