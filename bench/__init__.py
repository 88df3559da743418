"""Measurements with real processes, run by hand; each prints one table."""
