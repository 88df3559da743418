"""The order in which a caller should use the hosts, kept until it changes.

A look-up happens far more often than a change of hosts, so the order is found
once for each account and region, rendered, and dropped when the hosts, the
view or the declarations change. A host that falls silent is noticed at the
next heartbeat.
"""

from collections.abc import Iterator
import itertools
import json
from typing import TypedDict

from gooseberryweir import rendezvous
from gooseberryweir.process.membership import membership as memberships
from gooseberryweir.version import declarations
from gooseberryweir.version import tables as versions

NEAREST_HOSTS = 12
# Hosts of other regions that are named besides, for the loss of a region.
FURTHER_HOSTS = 4
MAX_KEPT = 4096
# What `rendered` returns when no host is in service.
NO_HOSTS = "[]"


class LookUpHost(TypedDict):
    """One host in the answer of a look-up."""

    name: str
    address: str
    region: str
    zone: str


class Rankings:
    """Rankings of the hosts in service, by account and region.

    Attributes:
        tables: Hosts and declarations.
        membership: Which hosts are in service, and the homes of accounts.
        kept: Rendered ranking for each account and region.
        regions: Hosts in service by region.
    """

    def __init__(
        self, tables: versions.Tables, membership: memberships.Membership
    ) -> None:
        self.tables = tables
        self.membership = membership
        self.kept: dict[tuple[str, str], str] = {}
        self.regions: dict[str, list[versions.HostEntry]] = {}
        self._live: frozenset[str] | None = None
        self._silent: frozenset[str] = frozenset()
        self._digest = 0
        self._declared: declarations.Declarations | None = None

    def rendered(self, account: str, region: str) -> str:
        """Returns the best hosts for an account in a region, as JSON.

        Args:
            account: The client account, or empty.
            region: Region of the caller.
        """
        self._refresh()
        key = (account, region)
        text = self.kept.get(key)
        if text is None:
            if len(self.kept) >= MAX_KEPT:
                self.kept.clear()
            text = json.dumps(self.rank(account, region))
            self.kept[key] = text
        return text

    def rank(self, account: str, region: str) -> list[LookUpHost]:
        """Returns the best hosts for an account in a region.

        Nearest regions go first; at one distance the host that holds the
        account's tokens, then rendezvous order, which spreads the accounts.
        """
        near: list[versions.HostEntry] = []
        further: dict[str, versions.HostEntry] = {}
        for entry in itertools.chain.from_iterable(
            self._groups(account, region)
        ):
            if len(near) < NEAREST_HOSTS:
                near.append(entry)
            elif entry.region != near[-1].region:
                further.setdefault(entry.region, entry)
            if len(further) == FURTHER_HOSTS:
                break
        return [
            LookUpHost(
                name=each.name,
                address=each.caller,
                region=each.region,
                zone=each.zone,
            )
            for each in [*near, *further.values()]
        ]

    def _groups(
        self, account: str, region: str
    ) -> Iterator[list[versions.HostEntry]]:
        """Yields the hosts at each distance in their order, nearest first."""
        home = self.membership.home_of(f"account/{account}")

        def distance(other: str) -> float:
            return self.tables.latency(region, other)

        def rank(entry: versions.HostEntry) -> tuple[bool, int, str]:
            weight = rendezvous.score(account, entry.name)
            return (entry.name != home, -weight, entry.name)

        near_first = sorted(self.regions, key=distance)
        for _, names in itertools.groupby(near_first, key=distance):
            entries = [each for name in names for each in self.regions[name]]
            yield sorted(entries, key=rank)

    def _refresh(self) -> None:
        """Drops all rankings if anything that they rest on has changed."""
        live = self.membership.live()
        silent = self.membership.transitions.silent_hosts
        digest = self.membership.view().digest
        declared = self.tables.declarations
        if (
            live is self._live
            and silent == self._silent
            and digest == self._digest
            and declared is self._declared
        ):
            return
        self._live, self._silent = live, silent
        self._digest, self._declared = digest, declared
        self.kept.clear()
        self.regions = {}
        for name in self.membership.lookup_candidates():
            entry = self.tables.hosts[name]
            self.regions.setdefault(entry.region, []).append(entry)
