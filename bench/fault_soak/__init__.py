"""Randomized fault soak: real gateways on loopback, overlapping faults, and an oracle for the promises."""
