"""Spreads the store's content and each host's demand to all hosts.

No host is a leader; each sends heartbeats to all others.
"""
