"""Counts what a host sends to the other hosts."""

from gooseberryweir.process.fleet import heartbeat as heartbeat_module


class FleetTraffic:
    """Counts what this host sends to its peers, between two log lines.

    Attributes:
        heartbeats: Heartbeats sent.
        sent_bytes: Bytes of these heartbeats.
        snapshots: Snapshots that they carried.
        snapshot_bytes: Bytes of these snapshots.
        lost_links: Connections to peers that failed.
        started_at: Monotonic time, in seconds, at which counting started.
    """

    def __init__(self, now: float) -> None:
        self.heartbeats = 0
        self.sent_bytes = 0
        self.snapshots = 0
        self.snapshot_bytes = 0
        self.lost_links = 0
        self.started_at = now

    def record(self, heartbeat: heartbeat_module.Heartbeat, size: int) -> None:
        """Counts a heartbeat of some bytes."""
        self.heartbeats += 1
        self.sent_bytes += size
        self.snapshots += len(heartbeat.snapshots)
        self.snapshot_bytes += sum(
            len(each.content) for each in heartbeat.snapshots.values()
        )
