"""Spreads the content of the platform's store and the demand to all hosts.

The demand is the requests per second of each client account at each host. No
host is a leader; each exchanges heartbeats with the relays of its region.
"""
