"""Connections to job workers, over HTTP and Faktory, and their pools."""
