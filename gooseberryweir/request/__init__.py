"""Handles the requests of a host started by `serve`, from admission to answer.

The subpackage `steering` does the same for a host started by `front`.
"""
