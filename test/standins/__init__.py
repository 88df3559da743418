"""Stand-ins for the platform and upstreams, and a proxy that injects faults."""
