"""Connections to workers over HTTP and Faktory, and the connection pool of HTTP workers."""
