"""Steers callers to upstreams by declared targets."""

__version__ = "0.1.0"
