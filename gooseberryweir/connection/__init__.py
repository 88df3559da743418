"""Connections to callers, peers and upstreams, and what is sent over them."""
