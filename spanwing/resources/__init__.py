"""What the process itself uses: memory and the time of its event loop."""
