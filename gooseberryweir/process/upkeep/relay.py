"""Which hosts watch the platform themselves."""

from collections.abc import Callable

from gooseberryweir import clock as clocks
from gooseberryweir.process.membership import membership as memberships
from gooseberryweir.process.membership import neighbours
from gooseberryweir.process.membership import view as views
from gooseberryweir.version import tables as versions

RELAY_AGE_SECONDS = 2.2
RELAY_HOLD_SECONDS = 30.0


def relay_duty(
    host: str,
    region: str,
    tables: versions.Tables,
    membership: memberships.Membership,
    clock: clocks.Clock,
) -> Callable[[], bool]:
    """Returns the decision whether a host watches the platform itself.

    The first few hosts of each region in rendezvous order do. A host that
    its relays leave without recent evidence takes the duty for a while too,
    as does one that does not find itself in the list of hosts. In an outage
    that a majority confirms only the first few go on asking, so that a
    platform that comes back doesn't meet the calls of all hosts.
    """
    until = clock.monotonic()

    def lacks_evidence() -> bool:
        freshness = membership.freshness()
        if not freshness.fresh:
            return True
        aged = freshness.age > RELAY_AGE_SECONDS
        return aged and freshness.source != "outage"

    def is_relay() -> bool:
        nonlocal until
        live = views.live_hosts(membership.facts, tables.hosts)
        orders = neighbours.regional_orders(tables.hosts, live)
        near = orders.get(region, [])
        if host in near[: neighbours.RELAYS_PER_REGION]:
            return True
        now = clock.monotonic()
        if membership.freshness().source == "outage":
            until = now
        if host not in near or lacks_evidence():
            until = now + RELAY_HOLD_SECONDS
        return now < until

    return is_relay
