"""Decides which snapshots of the store a heartbeat carries.

A snapshot is sent to a peer at most once over a connection: the connection
delivers it unless it fails. A peer whose heartbeats are late seems to lack what
it was sent long ago, so sending again on that account would fill its link.
"""

from gooseberryweir.process.fleet import fleet_view
from gooseberryweir.process.fleet import heartbeat as heartbeat_module
from gooseberryweir.process.fleet import store_cache as store_cache_module

# Time for which a peer may lack a revision of a snapshot before it gets it from
# a host that it did not ask.
UNASKED_DELAY_SECONDS = 1.0


def take_due(
    peer: fleet_view.Peer,
    store_cache: store_cache_module.StoreCache,
    at_once: bool,
    now: float,
) -> dict[str, heartbeat_module.SentSnapshot]:
    """Returns the snapshots to send to a peer now, and records them as sent.

    Args:
        peer: The peer.
        store_cache: Latest snapshots of this host.
        at_once: True to send all that the peer lacks; False to send those that
            it has lacked for `UNASKED_DELAY_SECONDS`.
        now: Monotonic time in seconds.
    """
    missing_since = {}
    due = {}
    for kind in _missing_kinds(peer, store_cache):
        rank = store_cache.rank(kind)
        missing_rank, since = peer.missing_since.get(kind, (rank, now))
        # The delay starts again with each version.
        if missing_rank != rank:
            since = now
        missing_since[kind] = (rank, since)
        if at_once or now - since >= UNASKED_DELAY_SECONDS:
            peer.sent_ranks[kind] = rank
            due[kind] = heartbeat_module.SentSnapshot(
                rank.version.revision, store_cache.snapshots[kind].content
            )
    peer.missing_since = missing_since
    return due


def _missing_kinds(
    peer: fleet_view.Peer, store_cache: store_cache_module.StoreCache
) -> list[str]:
    """Returns the kinds of which a peer lacks a snapshot and was not sent it.

    A heartbeat has snapshots of the newest era only.
    """
    if peer.last_heartbeat is None:
        return []
    return [
        kind
        for kind in store_cache.current_kinds()
        if store_cache.rank(kind)
        > max(
            peer.last_heartbeat.rank(kind, store_cache),
            peer.sent_ranks.get(kind, store_cache_module.NO_RANK),
        )
    ]
