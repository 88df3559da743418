"""Keeping up with the platform of `serve`: its objects, this host's writes."""
