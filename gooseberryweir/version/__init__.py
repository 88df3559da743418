"""What lives as long as one version: declarations, objects, tables."""
