"""The operator port of a host."""
