"""Connections to workers over HTTP and Faktory, and their pools."""
