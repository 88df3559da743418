"""Validates the platform's versioned objects; builds look-up tables of them."""
