"""The fleet-wide policy: one version is in force at every scheduler, or the change is dropped."""
