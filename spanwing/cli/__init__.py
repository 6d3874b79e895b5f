"""The command line of the daemon; no other package loads click."""
