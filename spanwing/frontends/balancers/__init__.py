"""What common balancers ask a scheduler, each protocol a module, all from one verdict."""
