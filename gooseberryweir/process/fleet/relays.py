"""Selects the relays of a region: the hosts through which others communicate.

Most hosts exchange heartbeats with the relays of their region only, and the
relays with those of the other regions. So the number of messages grows with the
number of hosts and not with its square. Each host selects the relays from what
it knows of the live hosts; there is no election, and it does no harm if two
hosts select different relays for some time.
"""

from collections.abc import Iterable
from typing import NamedTuple

from gooseberryweir import rendezvous

# Relays of each region; the others take over if one of them fails.
RELAYS_PER_REGION = 2

# States of a candidate, the preferred ones first.
READY = 0
STARTING = 1
UNKNOWN = 2
SILENT = 3


class Candidate(NamedTuple):
    """A host that may be a relay.

    Attributes:
        name: Name of the host.
        state: `READY` or `STARTING` if it is live, and ready to serve callers
            or not; `SILENT` if it did not answer this host, else `UNKNOWN`.
        link_mbps: Rate of its network link in Mbit/s. A relay sends snapshots
            to many hosts, so hosts with a fast link are preferred.
    """

    name: str
    state: int
    link_mbps: float


def rank(region: str, candidates: Iterable[Candidate]) -> list[str]:
    """Returns the names of a region's hosts, the best relay first.

    Args:
        region: Name of the region.
        candidates: Hosts of the region.
    """
    return [
        each.name
        for each in sorted(
            candidates,
            key=lambda each: (
                each.state,
                -each.link_mbps,
                -rendezvous.score(region, each.name),
                each.name,
            ),
        )
    ]


def select(region: str, candidates: Iterable[Candidate]) -> list[str]:
    """Returns the names of the hosts to use as relays, the best one first.

    While no host is known to be ready, selects one more for each silent one: if
    many hosts fail at the same time, a live one is found after few attempts.
    """
    hosts = list(candidates)
    ready_count = sum(1 for each in hosts if each.state == READY)
    silent_count = sum(1 for each in hosts if each.state == SILENT)
    extra = silent_count if ready_count < RELAYS_PER_REGION else 0
    return rank(region, hosts)[: RELAYS_PER_REGION + extra]
