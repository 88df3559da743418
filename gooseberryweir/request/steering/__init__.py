"""Handles the requests of a host started by `front`: admission to answer.

The modules of the package `request` do the same for a host started by `serve`.
"""
