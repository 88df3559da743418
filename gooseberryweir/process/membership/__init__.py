"""Membership: live hosts, shared facts, and which host may act as a home.

A resource is a token bucket, a pool of slots, or the task of writing key
withdrawals to the platform. The home of a bucket or a pool is the host that
grants shares of it to the other hosts; the home of the task performs it.

A fact is a key with an integer value that all hosts replicate and merge.
"""
