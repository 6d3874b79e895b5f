"""Hot restart: one scheduler process replaces another without closing the listening socket."""
