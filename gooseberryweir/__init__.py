"""Routes requests to upstreams so that declared targets are met."""

__version__ = "0.1.0"
