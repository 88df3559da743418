"""Converts the platform's formats of durations and version numbers."""

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}
_VERSION = re.compile(r"r(\d+)")


def parse_duration(text: str) -> float:
    """Parses a duration such as `1500ms` or `2.5s` into seconds.

    Raises:
        ValueError: The text is not a number followed by a unit.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} should be a number and its unit, ms or s")
    return float(match[1]) * _SECONDS_BY_UNIT[match[2]]


def render_duration(seconds: float) -> str:
    """Formats seconds as whole milliseconds, such as `1500ms`; at least 0."""
    return f"{max(0, round(seconds * 1000))}ms"


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
