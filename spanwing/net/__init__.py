"""Bytes and sockets: HTTP, RESP, streams, buffers, addresses, connection tables; independent of the core."""
