"""Limits that all hosts keep together: token buckets, slots and permits."""
