"""The operators' port of a host."""
