"""Reads the store for the fleet: one host polls, the others get it by beats.

The host that the store answers soonest polls. Another one takes over once its
own knowledge has not been confirmed for some time, whatever the reason: the
reader is down, cut off, refused by the store, or this host is cut off from it.
"""

from collections.abc import Callable
import logging
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import event

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.process.fleet import mesh as mesh_module
from gooseberryweir.process.fleet import store_cache as store_cache_module

LOGGER = logging.getLogger(__name__)

# Time between two polls. With a beat to the others it leaves a second and more
# of the 2.5 s in which a change has to be in force.
POLL_SECONDS = 0.5
# Confirmation by beats is at most about 1.1 s old while all is well.
TAKEOVER_SECONDS = 1.7
# How much later each further host takes over.
TAKEOVER_STEP_SECONDS = 0.25
# Waits after failed calls to the store.
BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 1.0
# Hosts whose answers from the store differ by less are ranked by name.
LATENCY_STEP_SECONDS = 0.01
# Store latency of a host that never asked it.
UNKNOWN_SECONDS = 9.0


class ReadError(Exception):
    """The store did not answer a question."""


class Reading(NamedTuple):
    """One part as the store shows it.

    Attributes:
        part: The part with the revision at which it was read.
        store_revision: The store's revision at that time.
        asked_at: Reading of the clock before the question was sent.
    """

    snapshot: store_cache_module.Snapshot
    store_revision: int
    asked_at: float


class Reader:
    """Polls the store while it is this host's turn; a context manager.

    Attributes:
        reading: Whether this host polls.
        store_seconds: How long the store took to answer last.
    """

    def __init__(
        self,
        read: Callable[[str], Reading],
        register: Callable[[], None],
        store_cache: store_cache_module.StoreCache,
        clock: clocks.Clock,
    ) -> None:
        self.read = read
        self.register = register
        self.store_cache = store_cache
        self.clock = clock
        self.mesh: mesh_module.Mesh | None = None
        self.reading = False
        self.store_seconds = UNKNOWN_SECONDS
        self.seen_revision = 0
        self.synced_revision = 0
        self.reachable = True
        self.changed = event.Event()
        self.tasks: list[Any] = []

    def __enter__(self) -> "Reader":
        self.tasks = [
            eventlet.spawn(self._start),
            eventlet.spawn(self._sync_forever),
        ]
        return self

    def __exit__(self, *_: object) -> None:
        for task in self.tasks:
            task.kill()

    def _start(self) -> None:
        """Registers this host, reads all parts, then polls in turn."""
        eventlet.spawn(self._register_until_done)
        backoff = BACKOFF_SECONDS
        while self.store_cache.configuration is None:
            try:
                self._poll()
            except ReadError as error:
                self._note_store(False, error)
                self.clock.sleep(backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
                continue
            if self.store_cache.configuration is None:
                self.clock.sleep(POLL_SECONDS)
        self._poll_forever()

    def _register_until_done(self) -> None:
        backoff = BACKOFF_SECONDS
        while True:
            try:
                self.register()
                return
            except ReadError as error:
                self._note_store(False, error)
                self.clock.sleep(backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    def _poll_forever(self) -> None:
        backoff = 0.0
        while True:
            self._take_turn()
            if not self.reading:
                self.clock.sleep(POLL_SECONDS / 5)
                continue
            try:
                self._poll()
                backoff = 0.0
            except ReadError as error:
                self._note_store(False, error)
                backoff = min(
                    max(BACKOFF_SECONDS, 2 * backoff), MAX_BACKOFF_SECONDS
                )
            self.clock.sleep(backoff or POLL_SECONDS)

    def _note_store(
        self, reachable: bool, error: Exception | None = None
    ) -> None:
        if reachable != self.reachable:
            self.reachable = reachable
            logs.event(
                LOGGER,
                "store-regained" if reachable else "store-lost",
                logging.INFO if reachable else logging.WARNING,
                reason=error or "",
                confirmed_age=self.store_cache.confirmed_age(),
            )
        if not reachable:
            self.store_seconds = UNKNOWN_SECONDS

    def _poll(self) -> None:
        began = self.clock.monotonic()
        reading = self._read_snapshot(store_cache_module.CONFIGURATION)
        self.store_seconds = self.clock.monotonic() - began
        self._note_store(True)
        self.store_cache.confirm(reading.snapshot.revision, reading.asked_at)
        self.seen_revision = max(self.seen_revision, reading.store_revision)
        if self.seen_revision > self.synced_revision:
            self._wake_sync()
        if self.mesh is not None:
            self.mesh.kick()

    def _wake_sync(self) -> None:
        if not self.changed.ready():
            self.changed.send()

    def _sync_forever(self) -> None:
        """Reads the other parts whenever the store has a newer revision."""
        while True:
            self.changed.wait()
            self.changed = event.Event()
            wanted = self.seen_revision
            try:
                for kind in (
                    store_cache_module.UPSTREAMS,
                    store_cache_module.EVACUATIONS,
                    store_cache_module.HOSTS,
                ):
                    self._read_snapshot(kind)
            except ReadError as error:
                self._note_store(False, error)
                # The next poll wakes this task again.
                continue
            self.synced_revision = max(self.synced_revision, wanted)
            if self.mesh is not None:
                self.mesh.kick()

    def _read_snapshot(self, kind: str) -> Reading:
        reading = self.read(kind)
        snapshot = reading.snapshot
        if snapshot.revision == 0:
            # There is no configuration yet.
            return reading
        old = self.store_cache.snapshots.get(kind)
        if (
            old is not None
            and old.content == snapshot.content
            and not self._others_differ(kind, old.revision)
        ):
            # The same content needs no new revision at the other hosts.
            return reading._replace(snapshot=old)
        self.store_cache.accept(
            kind, snapshot.revision, snapshot.content, "store"
        )
        return reading

    def _others_differ(self, kind: str, revision: int) -> bool:
        """Whether another host has a newer revision, with unknown content."""
        if self.mesh is None:
            return False
        return any(
            peer.beat is not None
            and peer.beat.revisions.get(kind, 0) > revision
            for peer in self.mesh.alive()
        )

    def _take_turn(self) -> None:
        """Decides whether this host polls."""
        turn = self._is_turn()
        if turn != self.reading:
            self.reading = turn
            logs.event(
                LOGGER,
                "reading-begins" if turn else "reading-ends",
                confirmed_age=self.store_cache.confirmed_age(),
                store_seconds=self.store_seconds,
            )

    def _is_turn(self) -> bool:
        if self.mesh is None:
            return True
        better = [
            peer
            for peer in self.mesh.alive()
            if peer.beat is not None and not peer.beat.leaving
        ]
        own = self._rank(self.store_seconds, self.mesh.settings.host)
        ranked = sorted(
            self._rank(peer.beat.store_seconds, peer.entry.name)
            for peer in better
            if peer.beat is not None
        )
        age = self.store_cache.confirmed_age()
        place = sum(1 for rank in ranked if rank < own)
        if not self.reading:
            return age > TAKEOVER_SECONDS + place * TAKEOVER_STEP_SECONDS
        return not any(
            peer.beat is not None
            and peer.beat.reading
            and peer.beat.confirmed_age < POLL_SECONDS
            and self._rank(peer.beat.store_seconds, peer.entry.name) < own
            for peer in better
        )

    def _rank(self, store_seconds: float, name: str) -> tuple[int, str]:
        return (int(store_seconds / LATENCY_STEP_SECONDS), name)
