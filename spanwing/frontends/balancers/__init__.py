"""The health protocols of common load balancers; all report the same health verdict."""
