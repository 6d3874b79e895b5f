"""The journal of non-idempotent work: records which request was forwarded to which worker and when.

The journal makes no scheduling decisions.
"""
