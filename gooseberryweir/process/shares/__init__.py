"""Limits shared by all hosts: token buckets, slots and permits.

Each limit has a home: the host that grants shares of it to the other hosts. A
holder on each host spends the tokens or slots granted to that host.
"""
