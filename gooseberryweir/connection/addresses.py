"""Parses addresses and connects to them.

Addresses of upstreams and hosts come from entries of others, also by way of
hosts of earlier builds, which check less.
"""

import re
from typing import Any

import eventlet

MAX_PORT = 65535
_PORT = re.compile(r"[0-9]{1,5}")


class AddressError(OSError):
    """An address has another form, so nothing can be reached there."""


def parse(address: str) -> tuple[str, int]:
    """Returns the IP address and the port of `IP:PORT`.

    Raises:
        AddressError: The address has another form, or the port is above
            `MAX_PORT`.
    """
    ip, _, port = address.rpartition(":")
    if not ip or not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise AddressError(f"not an IP:PORT address: {address[:60]!r}")
    return ip, int(port)


def connect(address: str) -> Any:
    """Returns a connection to `IP:PORT`.

    Raises:
        OSError: There is no such address, or the connection failed.
    """
    return eventlet.connect(parse(address))
