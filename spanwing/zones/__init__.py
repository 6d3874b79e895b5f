"""Zone failover: all schedulers of the fleet leave a failed zone, and return to it, together.

Imported only if the operator's file has a [zones] table.
"""
