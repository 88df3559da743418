"""Ranks the hosts that a caller should use, and caches the rankings.

Look-ups are far more frequent than changes of the hosts, so each ranking is
computed once for an account and region and cached as JSON. The cache is cleared
when the hosts, the membership view or the declarations change. A host that
stops answering stays in the rankings until a check, made at every heartbeat,
finds it silent.
"""

from collections.abc import Iterator
import itertools
import json
from typing import TypedDict

from gooseberryweir import rendezvous
from gooseberryweir.process.membership import membership as memberships
from gooseberryweir.version import declarations
from gooseberryweir.version import tables as tables_module

MAX_NEAREST_HOSTS = 12
# One host of each further region, up to this number, is added in case the
# nearest region fails.
MAX_OTHER_REGION_HOSTS = 4
MAX_CACHED_RANKINGS = 4096
# Value of `ranked_json` when no host is in service.
NO_HOSTS = "[]"


class LookUpHost(TypedDict):
    """One host in the answer to a look-up.

    Attributes:
        name: Name of the host.
        address: Address for callers, `IP:PORT`.
        region: Region of the host.
        zone: Availability zone of the host.
    """

    name: str
    address: str
    region: str
    zone: str


class Rankings:
    """Ranks the hosts in service; caches a ranking per account and region.

    Attributes:
        tables: Tables of the listed hosts and of the declarations.
        membership: Membership, which determines the hosts in service and the
            home of each account's rate limit (the host that grants its tokens).
        cache: Ranking as JSON for each account and region.
        hosts_by_region: Hosts in service for each region.
    """

    def __init__(
        self, tables: tables_module.Tables, membership: memberships.Membership
    ) -> None:
        self.tables = tables
        self.membership = membership
        self.cache: dict[tuple[str, str], str] = {}
        self.hosts_by_region: dict[str, list[tables_module.HostEntry]] = {}
        self._live: frozenset[str] | None = None
        self._silent: frozenset[str] = frozenset()
        self._digest = 0
        self._declared: declarations.Declarations | None = None

    def ranked_json(self, account: str, region: str) -> str:
        """Returns the ranked hosts for an account and region as JSON.

        Args:
            account: Client account; empty for an unauthenticated caller.
            region: Region of the caller.
        """
        self._refresh()
        key = (account, region)
        text = self.cache.get(key)
        if text is None:
            if len(self.cache) >= MAX_CACHED_RANKINGS:
                self.cache.clear()
            text = json.dumps(self.rank(account, region))
            self.cache[key] = text
        return text

    def rank(self, account: str, region: str) -> list[LookUpHost]:
        """Returns the ranked hosts for an account and region.

        Nearer regions come first. At equal latency the home of the account's
        rate limit comes first, then the others in the order of a rendezvous
        hash, which spreads the accounts over the hosts.
        """
        nearest: list[tables_module.HostEntry] = []
        other_regions: dict[str, tables_module.HostEntry] = {}
        for entry in itertools.chain.from_iterable(
            self._group_by_latency(account, region)
        ):
            if len(nearest) < MAX_NEAREST_HOSTS:
                nearest.append(entry)
            elif entry.region != nearest[-1].region:
                other_regions.setdefault(entry.region, entry)
            if len(other_regions) == MAX_OTHER_REGION_HOSTS:
                break
        return [
            LookUpHost(
                name=host.name,
                address=host.caller,
                region=host.region,
                zone=host.zone,
            )
            for host in [*nearest, *other_regions.values()]
        ]

    def _group_by_latency(
        self, account: str, region: str
    ) -> Iterator[list[tables_module.HostEntry]]:
        """Yields a ranked list of the hosts of each latency, nearest first."""
        home = self.membership.home_of(f"account/{account}")

        def latency(target: str) -> float:
            return self.tables.latency(region, target)

        def rank(entry: tables_module.HostEntry) -> tuple[bool, int, str]:
            weight = rendezvous.score(account, entry.name)
            return (entry.name != home, -weight, entry.name)

        by_latency = sorted(self.hosts_by_region, key=latency)
        for _, regions in itertools.groupby(by_latency, key=latency):
            entries = [
                host for name in regions for host in self.hosts_by_region[name]
            ]
            yield sorted(entries, key=rank)

    def _refresh(self) -> None:
        """Clears the cache if anything that the rankings depend on changed."""
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
        self.cache.clear()
        self.hosts_by_region = {}
        for name in self.membership.lookup_candidates():
            entry = self.tables.hosts[name]
            self.hosts_by_region.setdefault(entry.region, []).append(entry)
