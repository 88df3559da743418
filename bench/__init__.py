"""Measurements with real processes, run by hand; see docs/CAPACITY.md."""
