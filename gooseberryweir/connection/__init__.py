"""Servers, clients and message formats for callers, peers and upstreams."""
