"""Headers that concern one connection only, and are never passed on."""

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
    """Returns the headers that Connection headers name, in lower case."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    )
