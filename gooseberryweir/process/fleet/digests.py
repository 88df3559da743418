"""Builds the digests that a host sends to those that asked for them.

A digest contains only what its sender hears itself, and what relays of other
regions hear themselves, so a host that is down does not live on in digests.
"""

from collections.abc import Iterable
import itertools

from gooseberryweir.process.fleet import fleet_demand
from gooseberryweir.process.fleet import fleet_view
from gooseberryweir.process.fleet import heartbeat as heartbeat_module

# Ready hosts of each other region that a digest names.
MAX_HOSTS_ELSEWHERE = 4
# Largest number of fingerprints with crashes in a digest.
MAX_DIGEST_CRASHES = 64


def build(
    view: fleet_view.FleetView, receiver: fleet_view.Peer
) -> heartbeat_module.Digest:
    """Returns the digest for a host that asked for one."""
    whole_fleet = receiver.entry.region == view.settings.region
    heartbeats = [
        each
        for each in fleet_demand.counted_heartbeats(view)
        if each.supports_digests
        and each.entry.region == view.settings.region
        and each.entry.name != receiver.entry.name
    ]
    region_digests = fleet_demand.region_digests(view) if whole_fleet else []
    demand = dict(view.state.demand())
    for source in itertools.chain(
        (each.demand for each in heartbeats),
        (each.demand for each in region_digests),
    ):
        for account, rate in source.items():
            demand[account] = demand.get(account, 0.0) + rate
    # A relay that does not answer may be down; a receiver that took it for live
    # would prefer it to one that it hears.
    live = [
        fleet_view.status_of(peer.last_heartbeat)
        for peer in view.live_peers()
        if peer.last_heartbeat is not None
        and peer.entry.region == view.settings.region
        and not view.is_silent(peer)
    ]
    own_status = heartbeat_module.HostStatus(
        view.settings.host,
        view.state.ready() and not view.state.shutting_down(),
        view.settings.link_mbps,
    )
    hosts = (own_status, *live)
    ready_regions = {
        region for digest in region_digests for region in digest.ready_regions
    }
    if any(each.ready for each in hosts):
        ready_regions.add(view.settings.region)
    return heartbeat_module.Digest(
        region=view.settings.region,
        whole_fleet=whole_fleet,
        hosts=hosts,
        elsewhere=tuple(
            name
            for digest in region_digests
            for name in _ready_names(digest)[:MAX_HOSTS_ELSEWHERE]
        ),
        ready_regions=tuple(sorted(ready_regions)),
        counted_hosts=1
        + len(heartbeats)
        + sum(each.counted_hosts for each in region_digests),
        demand={account: round(rate, 1) for account, rate in demand.items()},
        crashes=_merge_crashes(
            [
                view.state.crashes(),
                *(each.crashes for each in heartbeats),
                *(each.crashes for each in region_digests),
            ]
        ),
        answered=tuple(
            sorted(
                {
                    *view.state.answered(),
                    *(name for each in heartbeats for name in each.answered),
                    *(
                        name
                        for each in region_digests
                        for name in each.answered
                    ),
                }
            )
        ),
    )


def _ready_names(digest: heartbeat_module.Digest) -> list[str]:
    return [each.name for each in digest.hosts if each.ready]


def _merge_crashes(
    reports: Iterable[dict[str, tuple[str, ...]]],
) -> dict[str, tuple[str, ...]]:
    """Merges the incarnations that each request may have crashed."""
    merged: dict[str, set[str]] = {}
    for report in reports:
        for fingerprint, incarnations in report.items():
            merged.setdefault(fingerprint, set()).update(incarnations)
    latest = list(merged.items())[:MAX_DIGEST_CRASHES]
    return {
        fingerprint: tuple(sorted(incarnations))
        for fingerprint, incarnations in latest
    }
