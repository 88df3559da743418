"""Membership: live hosts, shared facts, and which host may act as a home."""
