"""Job workers, however they are reached: next hops, their pools, the transport map."""
