"""Versioned data of the platform: declarations, objects and look-up tables."""
