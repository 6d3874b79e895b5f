"""Requests, delivery attempts and their one final answer, independent of any wire protocol."""
