"""Caches the content of the platform's store on each host.

The cache has one snapshot of each kind (configuration, upstreams, evacuations,
hosts), with the revision of the store at which it was read. A snapshot replaces
an older one as a whole and never a newer one, whether it arrives from the store
or from a peer.
"""

from collections.abc import Callable
import logging
from typing import Any
from typing import NamedTuple

import msgspec

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

CONFIGURATION = "configuration"
UPSTREAMS = "upstreams"
EVACUATIONS = "evacuations"
HOSTS = "hosts"
KINDS = (CONFIGURATION, UPSTREAMS, EVACUATIONS, HOSTS)
# Time since the configuration was last confirmed to be the newest one, above
# which the store may have been unavailable for so long that entries of
# upstreams expired: an entry lives for at least three heartbeats of its
# upstream, which are a second or more apart.
OUTAGE_SECONDS = 2.5
# Time after an outage within which live upstreams register again; the platform
# specifies about two seconds.
REREGISTRATION_SECONDS = 2.2


class Snapshot(NamedTuple):
    """One versioned set of objects of the store, all of one kind.

    Attributes:
        revision: Revision of the store at which the objects were read.
        content: The encoded objects.
    """

    revision: int
    content: bytes


def encode_content(value: Any) -> bytes:
    """Encodes the content of a snapshot of any kind but the configuration."""
    return msgspec.msgpack.encode(value)


def _decode_upstreams(content: bytes) -> tuple[traffic.Upstream, ...]:
    return msgspec.msgpack.decode(content, type=tuple[traffic.Upstream, ...])


class StoreCache:
    """Latest content of the store that this host received, to serve callers.

    Attributes:
        snapshots: Latest accepted snapshot of each kind.
        configuration: Newest configuration, or None.
        upstreams: Upstreams by name.
        retained: Names of upstreams that are kept although the latest snapshot
            lacks them, since their entries may have expired during an outage of
            the store.
        recovered_at: Monotonic time, in seconds, at which the last outage of
            the store ended; the first confirmation after a start counts as
            such an end.
        evacuated_zones: Availability zones that receive no requests.
        hosts: Registered hosts by name.
        confirmed_at: Latest monotonic time, in seconds, at which the
            configuration is confirmed to have been the newest one; negative
            infinity before the first confirmation.
        cold_until: Monotonic time, in seconds, until which an upstream is cold
            (its cache is not filled yet), by its name.
        listeners: Functions called with the kind of each changed snapshot.
    """

    def __init__(
        self,
        decode_configuration: Callable[[bytes], traffic.Configuration],
        clock: clocks.Clock,
    ) -> None:
        self.decode_configuration = decode_configuration
        self.clock = clock
        self.snapshots: dict[str, Snapshot] = {}
        self.configuration: traffic.Configuration | None = None
        self.upstreams: dict[str, traffic.Upstream] = {}
        self.retained: frozenset[str] = frozenset()
        self.recovered_at = float("-inf")
        self.evacuated_zones: frozenset[str] = frozenset()
        self.hosts: dict[str, traffic.HostEntry] = {}
        self.confirmed_at = float("-inf")
        self.cold_until: dict[str, float] = {}
        self.listeners: list[Callable[[str], None]] = []

    def revision(self, kind: str) -> int:
        """Returns the revision of a kind's snapshot, 0 if there is none."""
        snapshot = self.snapshots.get(kind)
        return 0 if snapshot is None else snapshot.revision

    def complete(self) -> bool:
        """Returns True if all kinds are cached, so that the host may serve."""
        return len(self.snapshots) == len(KINDS)

    def confirmed_age(self) -> float:
        """Returns the seconds since the configuration was last confirmed."""
        return self.clock.monotonic() - self.confirmed_at

    def stable_seconds(self) -> float:
        """Returns for how long the store has been without an outage.

        It is 0 while the configuration is not confirmed.
        """
        if self.confirmed_age() > OUTAGE_SECONDS:
            return 0.0
        return self.clock.monotonic() - self.recovered_at

    def confirm(
        self, revision: int, as_of: float, stable_seconds: float = 0.0
    ) -> None:
        """Records that a revision of the configuration was the newest one.

        Args:
            revision: Revision of the configuration; ignored if newer than the
                cached one.
            as_of: Monotonic time of this host, in seconds, before the request
                that confirmed it was sent.
            stable_seconds: For how long the peer that confirmed it knows the
                store to be without an outage. A gap here within that time was
                none of the store's.
        """
        if revision > self.revision(CONFIGURATION):
            return
        now = self.clock.monotonic()
        if now - as_of < OUTAGE_SECONDS < self.confirmed_age():
            self.recovered_at = now
        self.recovered_at = min(self.recovered_at, now - stable_seconds)
        self.confirmed_at = max(self.confirmed_at, as_of)
        if self.retained and not self._awaiting_reregistration(now):
            self._drop_retained()

    def _awaiting_reregistration(self, now: float) -> bool:
        """Returns True while live upstreams may still have to register again.

        This is so during an outage of the store and for
        `REREGISTRATION_SECONDS` after it.
        """
        return (
            self.confirmed_age() > OUTAGE_SECONDS
            or now - self.recovered_at < REREGISTRATION_SECONDS
        )

    def _drop_retained(self) -> None:
        """Removes upstreams that did not register again after an outage."""
        logs.event(
            LOGGER,
            "upstreams-gone",
            upstreams=",".join(sorted(self.retained)),
            seconds=self.clock.monotonic() - self.recovered_at,
        )
        self.upstreams = {
            name: each
            for name, each in self.upstreams.items()
            if name not in self.retained
        }
        self.retained = frozenset()
        for listener in self.listeners:
            listener(UPSTREAMS)

    def accept(
        self, kind: str, revision: int, content: bytes, source: str
    ) -> bool:
        """Stores a snapshot if it is valid and newer than the cached one.

        Args:
            kind: Kind of the snapshot.
            revision: Revision of the store at which it was read.
            content: Encoded content.
            source: Name of the sending host, or `store`, for the log.

        Returns:
            True if the snapshot was stored.
        """
        old = self.snapshots.get(kind)
        if old is not None and revision <= old.revision:
            return False
        changed = old is None or old.content != content
        if changed and not self._apply(kind, content, revision, source):
            return False
        self.snapshots[kind] = Snapshot(revision, content)
        if changed:
            logs.event(
                LOGGER,
                "knowledge-changed",
                part=kind,
                revision=revision,
                source=source,
                bytes=len(content),
            )
            for listener in self.listeners:
                listener(kind)
        return True

    def _apply(
        self, kind: str, content: bytes, revision: int, source: str
    ) -> bool:
        """Decodes a snapshot into the attribute for its kind.

        Returns:
            False if the content is invalid; it is logged and not used.
        """
        try:
            if kind == CONFIGURATION:
                self.configuration = self.decode_configuration(content)
            elif kind == UPSTREAMS:
                self._set_upstreams(_decode_upstreams(content))
            elif kind == EVACUATIONS:
                self.evacuated_zones = frozenset(
                    msgspec.msgpack.decode(content, type=tuple[str, ...])
                )
            elif kind == HOSTS:
                entries = msgspec.msgpack.decode(
                    content, type=tuple[traffic.HostEntry, ...]
                )
                self.hosts = {each.name: each for each in entries}
        except (ValueError, msgspec.MsgspecError) as error:
            logs.event(
                LOGGER,
                "knowledge-rejected",
                logging.ERROR,
                part=kind,
                revision=revision,
                source=source,
                reason=error,
            )
            return False
        return True

    def _set_upstreams(self, entries: tuple[traffic.Upstream, ...]) -> None:
        """Replaces the upstreams by those of the latest snapshot.

        During an outage of the store and shortly after it, keeps upstreams that
        the snapshot lacks, unless they were draining.

        Args:
            entries: Upstreams of the latest snapshot.
        """
        now = self.clock.monotonic()
        cold_until: dict[str, float] = {}
        for each in entries:
            old = self.upstreams.get(each.name)
            if each.cold_seconds <= 0:
                continue
            if old is not None and old.revision == each.revision:
                cold_until[each.name] = self.cold_until.get(each.name, 0.0)
            else:
                # The entry may be old already, so counting from now
                # overestimates how long the upstream stays cold.
                cold_until[each.name] = now + each.cold_seconds
        listed = {each.name: each for each in entries}
        missing = {}
        if self._awaiting_reregistration(now):
            missing = {
                name: each
                for name, each in self.upstreams.items()
                if name not in listed and not each.draining
            }
        if set(missing) - self.retained:
            logs.event(
                LOGGER,
                "upstreams-held",
                upstreams=",".join(sorted(missing)),
                confirmed_age=self.confirmed_age(),
            )
        self.retained = frozenset(missing)
        for name in missing:
            cold_until[name] = self.cold_until.get(name, 0.0)
        self.cold_until = cold_until
        self.upstreams = {**missing, **listed}
