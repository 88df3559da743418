"""Decides which snapshots of the store a heartbeat carries.

A snapshot is sent to a peer at most once over a connection: the connection
delivers it unless it fails. A peer whose heartbeats are late seems to lack what
it was sent long ago, so sending again on that account would fill its link.
"""

from collections.abc import Mapping

from gooseberryweir.process.fleet import fleet_view
from gooseberryweir.process.fleet import store_cache as store_cache_module

# Time for which a peer may lack a revision of a snapshot before it gets it from
# a host that it did not ask.
UNASKED_DELAY_SECONDS = 1.0


def take_due(
    peer: fleet_view.Peer,
    snapshots: Mapping[str, store_cache_module.Snapshot],
    at_once: bool,
    now: float,
) -> dict[str, store_cache_module.Snapshot]:
    """Returns the snapshots to send to a peer now, and records them as sent.

    Args:
        peer: The peer.
        snapshots: Latest snapshots of this host, by kind.
        at_once: True to send all that the peer lacks; False to send those that
            it has lacked for `UNASKED_DELAY_SECONDS`.
        now: Monotonic time in seconds.
    """
    missing = _missing(peer, snapshots)
    missing_since = {}
    for kind, snapshot in missing.items():
        revision, since = peer.missing_since.get(kind, (0, now))
        # The delay starts again with each revision.
        if revision != snapshot.revision:
            since = now
        missing_since[kind] = (snapshot.revision, since)
    peer.missing_since = missing_since
    due = {
        kind: snapshot
        for kind, snapshot in missing.items()
        if at_once or now - missing_since[kind][1] >= UNASKED_DELAY_SECONDS
    }
    peer.sent_revisions.update(
        {kind: snapshot.revision for kind, snapshot in due.items()}
    )
    return due


def _missing(
    peer: fleet_view.Peer, snapshots: Mapping[str, store_cache_module.Snapshot]
) -> dict[str, store_cache_module.Snapshot]:
    """Returns the snapshots that a peer lacks and was not sent."""
    if peer.last_heartbeat is None:
        return {}
    revisions = peer.last_heartbeat.revisions
    return {
        kind: snapshot
        for kind, snapshot in snapshots.items()
        if snapshot.revision
        > max(revisions.get(kind, 0), peer.sent_revisions.get(kind, 0))
    }
