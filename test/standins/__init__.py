"""Stand-ins for the outside systems: platform, upstream, fault proxy."""
