"""Hot restart: two processes act as one scheduler while one replaces the other."""
