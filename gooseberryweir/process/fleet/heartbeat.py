"""Messages between hosts: heartbeats and the digests that they carry."""

from typing import NamedTuple

import msgspec

from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.version import store_version
from gooseberryweir.version import traffic

# Key in `Heartbeat.revisions` by which a host says that it understands
# heartbeats with a digest. Earlier builds ignore the key and accept only
# heartbeats without the last field.
DIGEST_SUPPORT_KEY = "digest"
# Key in `Heartbeat.revisions` by which a host says that it handles calls (see
# `peer_calls`). Earlier builds ignore the key and close links that carry calls.
CALL_SUPPORT_KEY = "calls"
# Key in `Heartbeat.revisions` of the newest era of the store that a host knows;
# all other revisions there are of this era. Hosts of earlier builds ignore the
# key and send none.
ERA_KEY = "era"
# Key in `Heartbeat.revisions` of the version number that operators gave to the
# configuration of a host.
NUMBER_KEY = "number"


class SentSnapshot(NamedTuple):
    """A snapshot in a heartbeat.

    Attributes:
        revision: Revision of the store at which the objects were read, in the
            era of the heartbeat.
        content: The encoded objects.
    """

    revision: int
    content: bytes


class HostStatus(NamedTuple):
    """A live host, as reported by a host that hears it.

    Attributes:
        name: Name of the host.
        ready: True if it is ready to serve callers and not shutting down.
        link_mbps: Rate of its network link in Mbit/s.
    """

    name: str
    ready: bool
    link_mbps: float


class Digest(NamedTuple):
    """Summary of other hosts, which the receiver does not hear itself.

    Attributes:
        region: Region of the sender.
        whole_fleet: True if the demand is that of all hosts but the receiver;
            False if it is that of the sender's region only.
        hosts: Hosts of the sender's region that the sender hears, and itself.
        elsewhere: Names of some ready hosts of other regions.
        ready_regions: Regions with a ready host.
        counted_hosts: Number of hosts whose demand is included.
        demand: Requests per second of each client account at these hosts.
        crashes: Names of the upstream incarnations that crashed while they ran
            a request, by the fingerprint of the request.
        answered: Fingerprints of requests that crashed an upstream and were
            answered by an upstream later.
    """

    region: str
    whole_fleet: bool
    hosts: tuple[HostStatus, ...]
    elsewhere: tuple[str, ...]
    ready_regions: tuple[str, ...]
    counted_hosts: int
    demand: dict[str, float]
    crashes: dict[str, tuple[str, ...]]
    answered: tuple[str, ...]


class Relaying(NamedTuple):
    """What a heartbeat says about the exchange of digests.

    Attributes:
        link_mbps: Rate of the sender's network link in Mbit/s.
        is_relay: True if the sender is a relay of its region.
        wants_answer: True if the sender needs heartbeats of the receiver, False
            if it sends its own only as an answer.
        wants_digest: True if the receiver should send digests to the sender.
        takes_tokens: True if the sender takes tokens of client accounts from
            the receiver (see `tokens`).
        stable_seconds: For how long the sender knows the store to be without an
            outage, in seconds.
        digest: Summary of other hosts, if the receiver asked for it.
    """

    link_mbps: float
    is_relay: bool
    wants_answer: bool
    wants_digest: bool
    takes_tokens: bool
    stable_seconds: float
    digest: Digest | None


class Heartbeat(NamedTuple):
    """Periodic message from one host to another.

    Attributes:
        entry: Name, addresses and location of the sender.
        sent_at: Sending time on the sender's monotonic clock, in seconds.
        echo: `sent_at` of the latest heartbeat from the receiver, 0 if none.
        ready: True if the sender is ready to serve callers.
        shutting_down: True if the sender is shutting down.
        polling: True if the sender polls the store.
        store_seconds: Latency of the sender's last poll of the store, in
            seconds.
        confirmed_age: Seconds since the sender's configuration was confirmed to
            be the newest one.
        revisions: Revision of each snapshot of the sender that is of its newest
            era of the store, by kind.
        demand: Requests per second of each client account at the sender; empty
            if the receiver does not count it.
        snapshots: Snapshots that the receiver lacks, by kind.
        crashes: Names of the upstream incarnations that crashed while they ran
            a request, by the fingerprint of the request.
        answered: Fingerprints of requests that crashed an upstream and were
            answered by an upstream later.
        relaying: Exchange of digests; None in heartbeats of earlier builds, and
            in those to a host that may be one of an earlier build.
    """

    entry: traffic.HostEntry
    sent_at: float
    echo: float
    ready: bool
    shutting_down: bool
    polling: bool
    store_seconds: float
    confirmed_age: float
    revisions: dict[str, int]
    demand: dict[str, float]
    snapshots: dict[str, SentSnapshot]
    crashes: dict[str, tuple[str, ...]]
    answered: tuple[str, ...]
    relaying: Relaying | None = None

    @property
    def supports_digests(self) -> bool:
        """True if the sender understands heartbeats with a digest."""
        return DIGEST_SUPPORT_KEY in self.revisions

    @property
    def supports_calls(self) -> bool:
        """True if the sender handles calls."""
        return CALL_SUPPORT_KEY in self.revisions

    def era(self, own_era: int) -> int:
        """Returns the newest era of the store that the sender knows.

        A host of an earlier build does not know eras: what it says counts
        unless the store has returned from an older copy.

        Args:
            own_era: Newest era that the receiver knows.
        """
        return self.revisions.get(
            ERA_KEY, min(own_era, store_version.FIRST_ERA)
        )

    def rank(
        self, kind: str, own: store_cache_module.StoreCache
    ) -> store_cache_module.Rank:
        """Returns the order of the sender's snapshot of a kind.

        Args:
            kind: The kind.
            own: Cache of the receiver, whose configuration has the same number
                as that of a host of an earlier build.
        """
        number = 0
        if kind == store_cache_module.CONFIGURATION:
            number = self.revisions.get(NUMBER_KEY, own.configuration_number)
        return store_cache_module.Rank(
            number,
            store_version.StoreVersion(
                self.era(own.era), self.revisions.get(kind, 0)
            ),
        )

    @property
    def all_answered(self) -> tuple[str, ...]:
        """The answered suspects of the sender and of its digest."""
        if self.relaying is None or self.relaying.digest is None:
            return self.answered
        return self.answered + self.relaying.digest.answered


def encode(heartbeat: Heartbeat) -> bytes:
    """Encodes a heartbeat; leaves `relaying` out if it is None."""
    if heartbeat.relaying is None:
        return msgspec.msgpack.encode(heartbeat[:-1])
    return msgspec.msgpack.encode(heartbeat)


def decode(encoded: bytes) -> Heartbeat:
    """Decodes a heartbeat.

    Raises:
        ValueError: The bytes are not a heartbeat.
    """
    return msgspec.msgpack.decode(encoded, type=Heartbeat)
