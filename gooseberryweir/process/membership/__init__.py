"""Membership: live hosts, shared facts, and which host may act as a home.

The home of a resource (a token bucket or a pool of slots) is the host that
grants shares of it to the other hosts.
"""
