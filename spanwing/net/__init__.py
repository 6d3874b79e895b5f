"""Bytes and sockets: HTTP, RESP, streams, buffers, addresses, tables of connections; no core."""
