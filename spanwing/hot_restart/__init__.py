"""Two processes as one scheduler, for the seconds in which one replaces the other."""
