"""Measurements of parts, side by side with other ways; nothing here is a test."""
