"""Caches the content of the platform's store on each host.

The cache has one snapshot of each kind (configuration, upstreams, evacuations,
hosts), with the version of the store at which it was read. A snapshot replaces
an older one as a whole and never a newer one, whether it arrives from the store
or from a peer.

The store may return from an older copy, which begins a new era of its
revisions. The configuration in force then stays until the store has the same or
a newer one again; `store_return` says what applies to the other kinds.
"""

from collections.abc import Callable
import logging
from typing import Any
from typing import NamedTuple

import msgspec

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir import tasks
from gooseberryweir.process.fleet import store_return as store_return_module
from gooseberryweir.version import store_version
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
# Time after an outage within which live upstreams register again and hosts
# learn it: the platform specifies about two seconds for the first, and the
# second takes up to a poll interval and the heartbeats behind it.
REREGISTRATION_SECONDS = 2.6
_DECODE_ERRORS = (ValueError, OverflowError, RecursionError)


class Snapshot(NamedTuple):
    """One versioned set of objects of the store, all of one kind.

    Attributes:
        version: Version of the store at which the objects were read.
        content: The encoded objects.
    """

    version: store_version.StoreVersion
    content: bytes


class Rank(NamedTuple):
    """Order of the snapshots of one kind; the one to use compares as greater.

    Attributes:
        number: Version number that operators gave to the configuration, which
            only rises, also over a return of the store from an older copy; 0
            for the other kinds.
        version: Version of the store.
    """

    number: int
    version: store_version.StoreVersion


NO_RANK = Rank(0, store_version.NONE)


def encode_content(value: Any) -> bytes:
    """Encodes the content of a snapshot of any kind but the configuration."""
    return msgspec.msgpack.encode(value)


def _decode_upstreams(content: bytes) -> tuple[traffic.Upstream, ...]:
    return msgspec.msgpack.decode(content, type=tuple[traffic.Upstream, ...])


def _log_rejected(
    kind: str,
    version: store_version.StoreVersion,
    source: str,
    error: Exception,
) -> None:
    logs.event(
        LOGGER,
        "knowledge-rejected",
        logging.ERROR,
        part=kind,
        version=version,
        source=source,
        reason=error,
    )


class StoreCache:
    """Latest content of the store that this host received, to serve callers.

    Attributes:
        era: Newest era of the store that is known.
        store_return: Knowledge of the time before the last return of the store
            from an older copy.
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
        self.era = store_version.NO_ERA
        self.store_return = store_return_module.StoreReturn(clock)
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

    def version(self, kind: str) -> store_version.StoreVersion:
        """Returns the version of a kind's snapshot, `NONE` without one."""
        snapshot = self.snapshots.get(kind)
        return store_version.NONE if snapshot is None else snapshot.version

    @property
    def configuration_number(self) -> int:
        """Version number of the configuration, 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.version

    def rank(self, kind: str) -> Rank:
        """Returns the order of a kind's snapshot."""
        number = self.configuration_number if kind == CONFIGURATION else 0
        return Rank(number, self.version(kind))

    def current_kinds(self) -> tuple[str, ...]:
        """Returns the kinds whose snapshots are of the newest era."""
        return tuple(
            kind
            for kind, snapshot in self.snapshots.items()
            if snapshot.version.era == self.era
        )

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

    def enter_era(self, era: int, source: str) -> None:
        """Records the era of the store, which began at its last return.

        Entries of upstreams that the copy lacks have time to be written again.

        Args:
            era: The era; ignored unless newer than the known one.
            source: Name of the host that said so, or `store`, for the log.
        """
        if era <= self.era:
            return
        # Without an era the cache is from hosts of an earlier build.
        if self.snapshots and self.era != store_version.NO_ERA:
            self.recovered_at = self.clock.monotonic()
            self.store_return.begin(
                self.upstreams.values(), self.evacuated_zones
            )
            logs.event(
                LOGGER,
                "store-era-changed",
                logging.WARNING,
                era=era,
                previous_era=self.era,
                source=source,
                confirmed_age=self.confirmed_age(),
                configuration=self.configuration_number,
                left_upstreams=",".join(sorted(self.store_return.left)),
                evacuated_zones=",".join(sorted(self.evacuated_zones)),
            )
        self.era = era

    def confirm(
        self, rank: Rank, as_of: float, stable_seconds: float = 0.0
    ) -> None:
        """Records that a configuration was the newest one.

        Args:
            rank: Order of the configuration; ignored if newer than the cached
                one or of an earlier era of the store.
            as_of: Monotonic time of this host, in seconds, before the request
                that confirmed it was sent.
            stable_seconds: For how long the peer that confirmed it knows the
                store to be without an outage. A gap here within that time was
                none of the store's.
        """
        if rank > self.rank(CONFIGURATION) or rank.version.era < self.era:
            return
        now = self.clock.monotonic()
        if now - as_of < OUTAGE_SECONDS < self.confirmed_age():
            self.recovered_at = now
        self.recovered_at = min(self.recovered_at, now - stable_seconds)
        self.confirmed_at = max(self.confirmed_at, as_of)
        if self.retained and not self._awaiting_reregistration(now):
            self._drop_retained()
        if self.store_return.expire_upstreams():
            self._apply_again(UPSTREAMS)
        if self.store_return.expire_zones():
            self._apply_again(EVACUATIONS)

    def _apply_again(self, kind: str) -> None:
        """Applies a snapshot again after `store_return` has expired for it."""
        snapshot = self.snapshots.get(kind)
        if snapshot is None:
            return
        logs.event(
            LOGGER, "store-return-ended", part=kind, version=snapshot.version
        )
        self._apply(kind, snapshot.content, snapshot.version, "return")
        self._notify(kind)

    def _notify(self, kind: str) -> None:
        """Calls the listeners; one that fails does not affect the others."""
        for listener in self.listeners:
            try:
                listener(kind)
            except Exception as error:
                tasks.log_failure(f"listener of {kind}", error)

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
        self.store_return.record_gone(
            self.upstreams[name].incarnation for name in self.retained
        )
        self.upstreams = {
            name: each
            for name, each in self.upstreams.items()
            if name not in self.retained
        }
        self.retained = frozenset()
        self._notify(UPSTREAMS)

    def accept(
        self,
        kind: str,
        version: store_version.StoreVersion,
        content: bytes,
        source: str,
    ) -> bool:
        """Stores a snapshot if it is valid and newer than the cached one.

        Args:
            kind: Kind of the snapshot.
            version: Version of the store at which it was read.
            content: Encoded content.
            source: Name of the sending host, or `store`, for the log.

        Returns:
            True if the snapshot was stored.
        """
        if version.era < self.era:
            return False
        self.enter_era(version.era, source)
        old = self.snapshots.get(kind)
        if kind == CONFIGURATION and old is not None and old.content != content:
            return self._replace_configuration(old, version, content, source)
        if old is not None and version <= old.version:
            return False
        changed = (
            old is None
            or old.content != content
            or old.version.era < version.era
        )
        if changed and not self._apply(kind, content, version, source):
            return False
        self._store(kind, version, content, source, changed)
        return True

    def _store(
        self,
        kind: str,
        version: store_version.StoreVersion,
        content: bytes,
        source: str,
        changed: bool,
    ) -> None:
        """Stores a snapshot that was applied; logs and announces a change."""
        self.snapshots[kind] = Snapshot(version, content)
        if not changed:
            return
        logs.event(
            LOGGER,
            "knowledge-changed",
            part=kind,
            version=version,
            source=source,
            bytes=len(content),
        )
        self._notify(kind)

    def _replace_configuration(
        self,
        old: Snapshot,
        version: store_version.StoreVersion,
        content: bytes,
        source: str,
    ) -> bool:
        """Replaces the configuration unless operators gave it a lower number.

        A store that returned from an older copy has an earlier configuration,
        until operators have written the later one again.

        Returns:
            True if the configuration was replaced.
        """
        try:
            configuration = self.decode_configuration(content)
        except _DECODE_ERRORS as error:
            _log_rejected(CONFIGURATION, version, source, error)
            return False
        if Rank(configuration.version, version) > self.rank(CONFIGURATION):
            self.configuration = configuration
            self._store(CONFIGURATION, version, content, source, changed=True)
            return True
        if version > old.version:
            # The store has no newer configuration as of this version.
            self.snapshots[CONFIGURATION] = Snapshot(version, old.content)
            logs.event(
                LOGGER,
                "configuration-kept",
                logging.WARNING,
                version=version,
                number=self.configuration_number,
                stored_number=configuration.version,
                source=source,
            )
        return False

    def _apply(
        self,
        kind: str,
        content: bytes,
        version: store_version.StoreVersion,
        source: str,
    ) -> bool:
        """Decodes a snapshot into the attribute for its kind.

        Returns:
            False if the content is invalid; it is logged and not used.
        """
        try:
            if kind == CONFIGURATION:
                self.configuration = self.decode_configuration(content)
            elif kind == UPSTREAMS:
                old_era = self.version(kind).era
                self._set_upstreams(
                    _decode_upstreams(content), version.era == old_era
                )
            elif kind == EVACUATIONS:
                listed = msgspec.msgpack.decode(content, type=tuple[str, ...])
                self.evacuated_zones = self.store_return.add_zones(
                    frozenset(listed)
                )
            elif kind == HOSTS:
                entries = msgspec.msgpack.decode(
                    content, type=tuple[traffic.HostEntry, ...]
                )
                self.hosts = {each.name: each for each in entries}
        except _DECODE_ERRORS as error:
            _log_rejected(kind, version, source, error)
            return False
        return True

    def _set_upstreams(
        self, entries: tuple[traffic.Upstream, ...], same_era: bool
    ) -> None:
        """Replaces the upstreams by those of the latest snapshot.

        During an outage of the store and shortly after it, keeps upstreams that
        the snapshot lacks, unless they were draining.

        Args:
            entries: Upstreams of the latest snapshot.
            same_era: True if their revisions are of the same era as those of
                the cached ones.
        """
        now = self.clock.monotonic()
        entries = self.store_return.correct_upstreams(entries)
        cold_until: dict[str, float] = {}
        for each in entries:
            old = self.upstreams.get(each.name)
            if each.cold_seconds <= 0:
                continue
            if same_era and old is not None and old.revision == each.revision:
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
        remaining = {**missing, **listed}
        self.store_return.record_gone(
            {each.incarnation for each in self.upstreams.values()}
            - {each.incarnation for each in remaining.values()}
        )
        self.upstreams = remaining
