"""Measurements with real processes, run by hand."""
