"""Converts the platform's formats of durations and version numbers."""

import ipaddress
import re

from gooseberryweir.connection import addresses

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
# Longest duration that is accepted, about ten years.
MAX_DURATION_SECONDS = 3e8
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}
_VERSION = re.compile(r"r([0-9]{1,18})")


def parse_duration(text: str) -> float:
    """Parses a duration such as `1500ms` or `2.5s` into seconds.

    Raises:
        ValueError: The text is not a number followed by a unit, or it is
            longer than `MAX_DURATION_SECONDS`.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} should be a number and its unit, ms or s")
    seconds = float(match[1]) * _SECONDS_BY_UNIT[match[2]]
    if seconds > MAX_DURATION_SECONDS:
        raise ValueError(
            f"{text[:20]!r} should be at most {MAX_DURATION_SECONDS:g} s"
        )
    return seconds


def render_duration(seconds: float) -> str:
    """Formats seconds as whole milliseconds, such as `1500ms`; at least 0."""
    return f"{max(0, round(seconds * 1000))}ms"


def check_address(text: str) -> None:
    """Checks an address, an IPv4 address and a port.

    Raises:
        ValueError: The text is not such an address.
    """
    try:
        ip, port = addresses.parse(text)
        ipaddress.IPv4Address(ip)
    except (addresses.AddressError, ValueError) as error:
        raise ValueError(f"not an IPv4 address and a port: {error}") from error
    if port == 0:
        raise ValueError(f"{text!r} should have a port above 0")


def parse_version(text: str) -> int:
    """Parses the number of a version such as `r12`.

    Raises:
        ValueError: The text is not a version.
    """
    match = _VERSION.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{text!r} should be the letter r and digits, such as r12"
        )
    return int(match[1])
