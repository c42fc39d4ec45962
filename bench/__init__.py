"""Measurements of parts of the program; none is a test, and each prints one line of JSON."""
