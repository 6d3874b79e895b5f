"""Fleets of real and of simulated scheduler processes, with fault injection and checks of what must hold."""
