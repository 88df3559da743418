"""How the hosts of a fleet share what they know, without a leader."""
