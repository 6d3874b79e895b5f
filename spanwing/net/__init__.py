"""Networking: HTTP, RESP, streams, buffers, addresses and connection tables; independent of the core."""
