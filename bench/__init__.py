"""Measurements run by hand."""
