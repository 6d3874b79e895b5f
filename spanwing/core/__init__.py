"""Requests, delivery attempts and their one outcome; no wire is known here."""
