"""Handling of one request: admission, routing and proxying."""
