"""A randomized fault soak: real schedulers on loopback, faults on every link, an oracle outside them."""
