"""Hop-by-hop headers, which apply to one connection and are not forwarded."""

from collections.abc import Iterable

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def connection_options(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Returns the header names listed in Connection headers, in lower case."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    )
