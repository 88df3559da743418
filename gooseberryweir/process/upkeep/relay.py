"""Decides which hosts, called relays, watch the platform themselves.

The other hosts receive the platform's objects from their peers.
"""

from collections.abc import Callable

from gooseberryweir import clock as clocks
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.membership import neighbours
from gooseberryweir.process.membership import view as view_module
from gooseberryweir.version import tables as tables_module

MAX_CONFIRMATION_AGE_SECONDS = 2.2
TEMPORARY_RELAY_SECONDS = 30.0


def relay_predicate(
    host: str,
    region: str,
    tables: tables_module.Tables,
    membership: membership_module.Membership,
    clock: clocks.Clock,
) -> Callable[[], bool]:
    """Returns a function that returns True while this host is a relay.

    The first live hosts of each region in rendezvous order are relays. Another
    host becomes one for TEMPORARY_RELAY_SECONDS if it is not among the live
    hosts of its region, if it is not fresh (its objects were not confirmed as
    current recently enough to serve requests), or if that confirmation is older
    than MAX_CONFIRMATION_AGE_SECONDS. In an outage of the platform that a
    majority of the voters confirms, only the first hosts keep calling the
    platform, so that not all hosts call it when it recovers.

    Args:
        host: Name of this host.
        region: Region of this host.
        tables: Active tables with the host list.
        membership: Membership of this host, with its freshness and the facts.
        clock: Source of time.
    """
    relay_until = clock.monotonic()

    def lacks_confirmation() -> bool:
        """Returns True if this host is not fresh or its confirmation is old.

        The age does not count in a confirmed outage of the platform.
        """
        freshness = membership.freshness()
        if not freshness.fresh:
            return True
        is_old = freshness.age > MAX_CONFIRMATION_AGE_SECONDS
        return is_old and freshness.source != "outage"

    def is_relay() -> bool:
        nonlocal relay_until
        live = view_module.live_hosts(membership.facts, tables.hosts)
        orders_by_region = neighbours.regional_orders(tables.hosts, live)
        region_order = orders_by_region.get(region, [])
        if host in region_order[: neighbours.RELAYS_PER_REGION]:
            return True
        now = clock.monotonic()
        if membership.freshness().source == "outage":
            relay_until = now
        if host not in region_order or lacks_confirmation():
            relay_until = now + TEMPORARY_RELAY_SECONDS
        return now < relay_until

    return is_relay
