"""Rendezvous hashing: assigns each name to a member, such as a limit to a host.

Hosts that have the same list of members choose the same member for a name
without exchanging messages.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Iterable

import xxhash


def score(name: str, member: str) -> int:
    """Returns the 64-bit score of a member for a name."""
    return xxhash.xxh64_intdigest(f"{name}\0{member}".encode())


def order(name: str, members: Iterable[str]) -> list[str]:
    """Returns the members, sorted from the highest to the lowest score."""
    return sorted(members, key=lambda member: (-score(name, member), member))


def first(name: str, members: Iterable[str]) -> str | None:
    """Returns the member with the highest score, or None without members."""
    return min(
        members, key=lambda member: (-score(name, member), member), default=None
    )
