"""The journal of non-idempotent work: what was forwarded, to which worker and when; it makes no decisions."""
