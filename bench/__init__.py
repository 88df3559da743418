"""Measurements behind docs/CAPACITY.md; each script prints one table."""
