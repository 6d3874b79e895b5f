"""Health protocols of common balancers, one module each, all from one verdict."""
