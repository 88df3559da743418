"""Shares the store's content and the load among all hosts, without a leader."""
