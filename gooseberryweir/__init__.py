"""Routes requests to upstreams so that the operators' targets are met.

Operators declare targets for latency, headroom and safety.
"""

__version__ = "0.1.0"
