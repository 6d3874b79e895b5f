"""Client of the discovery service: fetches the endpoint list, watches it for changes and tracks its age."""
