"""Requests, their delivery attempts and their final answers, independent of any wire protocol."""
