"""Zones of the fleet, which all schedulers leave and return to together.

Loaded only where the operator's file asks for it.
"""
