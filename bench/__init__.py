"""Measurements, which print lines of JSON, and the randomized fault soak; none of them is a test."""
