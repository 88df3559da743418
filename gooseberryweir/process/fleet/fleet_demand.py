"""Demand of client accounts at other hosts, from heartbeats and digests.

A host counts the hosts of its region by their heartbeats, if it is a relay, and
those of other regions by the digests of their relays. A host that is no relay
uses the sum in the digests of its own relays.
"""

from typing import NamedTuple

from gooseberryweir.process.fleet import fleet_view
from gooseberryweir.process.fleet import heartbeat as heartbeat_module


class Demand(NamedTuple):
    """Demand of a client account at some hosts.

    Attributes:
        rate: Requests per second.
        hosts: Number of the hosts.
    """

    rate: float
    hosts: int


def counted_heartbeats(
    view: fleet_view.FleetView,
) -> list[heartbeat_module.Heartbeat]:
    """Returns the heartbeats of peers that no other region counts."""
    return [
        heartbeat
        for heartbeat in view.recent_heartbeats(fleet_view.SHARE_EXPIRY_SECONDS)
        if heartbeat.entry.region == view.settings.region
        or not heartbeat.supports_digests
    ]


def region_digests(
    view: fleet_view.FleetView,
) -> list[heartbeat_module.Digest]:
    """Returns the most complete recent digest of each other region."""
    now = view.clock.monotonic()
    best: dict[str, tuple[tuple[bool, int, float], fleet_view.Peer]] = {}
    for peer in view.peers.values():
        digest = peer.digest
        if (
            digest is None
            or digest.whole_fleet
            or digest.region == view.settings.region
            or now - peer.digest_at > fleet_view.SHARE_EXPIRY_SECONDS
        ):
            continue
        key = (
            now - peer.digest_at <= fleet_view.PEER_TIMEOUT_SECONDS,
            digest.counted_hosts,
            peer.digest_at,
        )
        if digest.region not in best or key > best[digest.region][0]:
            best[digest.region] = (key, peer)
    return [peer.digest for _, peer in best.values() if peer.digest is not None]


def _fleet_digests(
    view: fleet_view.FleetView,
) -> list[heartbeat_module.Digest]:
    """Returns the recent digests that count all other hosts."""
    return [
        each
        for each in view.digests(fleet_view.SHARE_EXPIRY_SECONDS)
        if each.whole_fleet
    ]


def elsewhere(
    view: fleet_view.FleetView, account: str, own_rate: float
) -> Demand:
    """Returns the demand of a client account at all other hosts.

    While relays change, this host may know two sums; it uses the larger
    one. A registered host that nobody has counted yet is assumed to have
    the same demand as this host, until this host has run for
    `SHARE_EXPIRY_SECONDS`: by then it would have been heard if it were up.

    Args:
        view: What this host knows of the other hosts.
        account: Name of the client account.
        own_rate: Requests per second at this host.
    """
    heartbeats = counted_heartbeats(view)
    digests = region_digests(view)
    heard = Demand(
        sum(each.demand.get(account, 0.0) for each in heartbeats)
        + sum(each.demand.get(account, 0.0) for each in digests),
        len(heartbeats) + sum(each.counted_hosts for each in digests),
    )
    # Earlier builds are counted by each host, not in digests.
    plain = [each for each in heartbeats if not each.supports_digests]
    plain_rate = sum(each.demand.get(account, 0.0) for each in plain)
    sums = [heard] + [
        Demand(
            digest.demand.get(account, 0.0) + plain_rate,
            digest.counted_hosts + len(plain),
        )
        for digest in _fleet_digests(view)
    ]
    rate = max(each.rate for each in sums)
    hosts = max(each.hosts for each in sums)
    uncounted = 0
    if (
        view.clock.monotonic() - view.started_at
        <= fleet_view.SHARE_EXPIRY_SECONDS
    ):
        registered = set(view.store_cache.hosts) - {view.settings.host}
        uncounted = max(0, len(registered) - hosts)
    return Demand(rate + uncounted * own_rate, hosts + uncounted)


def token_clients(
    view: fleet_view.FleetView,
) -> list[heartbeat_module.Heartbeat]:
    """Returns the heartbeats of hosts that take tokens from this one."""
    return [
        heartbeat
        for heartbeat in view.recent_heartbeats(fleet_view.SHARE_EXPIRY_SECONDS)
        if heartbeat.relaying is not None and heartbeat.relaying.takes_tokens
    ]
