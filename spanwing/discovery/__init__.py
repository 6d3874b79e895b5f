"""Discovery: follows the endpoint list."""
