"""Times and versions as the platform writes them."""

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_SECONDS = {"ms": 0.001, "s": 1.0}
_VERSION = re.compile(r"r(\d+)")


def parse_duration(text: str) -> float:
    """Returns the seconds of a text such as `1500ms` or `2.5s`.

    Raises:
        ValueError: It is no number with a unit.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} should be a number and its unit, ms or s")
    return float(match[1]) * _SECONDS[match[2]]


def render_duration(seconds: float) -> str:
    """Returns a duration in whole milliseconds."""
    return f"{max(0, round(seconds * 1000))}ms"


def parse_version(text: str) -> int:
    """Returns the number of a version such as `r12`.

    Raises:
        ValueError: It is no version.
    """
    match = _VERSION.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} should be r and a number")
    return int(match[1])
