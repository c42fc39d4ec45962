"""A random fault soak: real gateway processes on loopback, overlapping faults, an oracle of invariants."""
