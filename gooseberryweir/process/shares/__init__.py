"""Limits shared by all hosts: token buckets, slots and permits.

Each limit has a home: the host that grants shares of it to the hosts. Each host
has a holder of each limit that it uses: the state of the host's granted share,
from which it spends tokens or leases slots.
"""
