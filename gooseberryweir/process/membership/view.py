"""The view: the hosts that can be homes, and the home of each resource.

A resource is a token bucket, a pool of slots, or the task of writing key
withdrawals to the platform. The home of a bucket or a pool grants shares of
it; the home of the task performs it.
"""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from gooseberryweir import rendezvous
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.version import tables


class View(NamedTuple):
    """The hosts that can be the home of a resource.

    Attributes:
        digest: 64-bit digest of the members and of the voters.
        members: Name and incarnation (a number that grows with each start of
            the process) of each such host, sorted by name.
    """

    digest: int
    members: tuple[tuple[str, int], ...]


EMPTY_VIEW = View(0, ())
MAX_RECENT_VIEWS = 32
MAX_CACHED_HOMES = 20_000


def live_incarnation(facts: facts_module.Facts, host: str) -> int:
    """Returns the newest incarnation of a host, or 0 if it is not alive.

    A host without any known incarnation is not alive either.
    """
    incarnation = facts.get(facts_module.incarnation_key(host))
    ended = max(
        facts.get(facts_module.leaving_key(host)),
        facts.get(facts_module.dead_key(host)),
    )
    return incarnation if incarnation > ended else 0


def live_hosts(
    facts: facts_module.Facts, hosts: Mapping[str, tables.HostEntry]
) -> frozenset[str]:
    """Returns the listed hosts that are neither leaving nor dead.

    A host whose incarnation is not known yet counts as live.
    """
    return frozenset(
        name
        for name, entry in hosts.items()
        if not entry.leaving and not _has_ended(facts, name)
    )


def _has_ended(facts: facts_module.Facts, host: str) -> bool:
    """Returns True if a host has a known incarnation and none is alive."""
    known = facts.get(facts_module.incarnation_key(host)) > 0
    return known and not live_incarnation(facts, host)


def build(
    facts: facts_module.Facts,
    hosts: Mapping[str, tables.HostEntry],
    voters: frozenset[str],
) -> View:
    """Builds the view from the voters that are alive and not listed as leaving.

    Args:
        facts: Facts shared between the hosts.
        hosts: The platform's host list, by name.
        voters: Names of the hosts that vote.
    """
    pairs = [
        (name, live_incarnation(facts, name))
        for name in sorted(voters)
        if not hosts[name].leaving
    ]
    members = tuple(pair for pair in pairs if pair[1])
    if not members:
        return EMPTY_VIEW
    text = repr((members, sorted(voters)))
    return View(xxhash.xxh64_intdigest(text.encode()), members)


class RecentViews:
    """The recent views of this host, by digest.

    Attributes:
        views: Recent views, oldest first.
        homes: Cached home of each resource, by digest of the view and name of
            the resource.
    """

    def __init__(self) -> None:
        self.views: dict[int, View] = {}
        self.homes: dict[int, dict[str, tuple[str, int] | None]] = {}

    def add(self, view: View) -> None:
        """Adds the newest view; drops the oldest above `MAX_RECENT_VIEWS`."""
        self.views.pop(view.digest, None)
        self.views[view.digest] = view
        self.homes.setdefault(view.digest, {})
        for digest in list(self.views)[:-MAX_RECENT_VIEWS]:
            del self.views[digest], self.homes[digest]

    def home_of(self, digest: int, resource: str) -> tuple[str, int] | None:
        """Returns the home of a resource under a view.

        Args:
            digest: Digest of the view.
            resource: Name of the resource.

        Returns:
            Name and incarnation of the home, or None if the view has no
            members or is not a recent one.
        """
        cached = self.homes.get(digest)
        if cached is None:
            return None
        if resource not in cached:
            if len(cached) >= MAX_CACHED_HOMES:
                cached.clear()
            view = self.views[digest]
            name = home_of(view, resource)
            members = dict(view.members)
            cached[resource] = None if name is None else (name, members[name])
        return cached[resource]


def home_of(view: View, resource: str) -> str | None:
    """Returns the home of a resource: the first member in rendezvous order.

    Returns None if the view has no members.
    """
    return rendezvous.first(resource, (name for name, _ in view.members))
