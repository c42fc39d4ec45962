"""Randomized fault soak: real gateway processes on loopback, overlapping faults and an oracle."""
