"""Relay duty: brings the platform's objects into this host's store.

A full list at the start and a watch for each kind carry the changes. Watches
can be late, doubled, shuffled or silent, so beside them the steering objects
are listed every second, and the others if the store has changed since their
last list. A list proves that what is held is current, finds what a watch has
missed, and finds deletions. Versions only grow: what is older than what is held
changes nothing and proves nothing.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import logging
import random
from typing import Any

import eventlet

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.platform import store as platform_store
from gooseberryweir.version import objects

POLL_INTERVAL_SECONDS = 1.0
WATCH_DURATION_SECONDS = 20.0
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
BACKOFF_RESET_SECONDS = 1.0
MAX_CONCURRENT_POLLS = 4
KINDS = (objects.ENDPOINT_SLICES, objects.STEERING_OBJECTS)
LOGGER = logging.getLogger(__name__)


class Watcher:
    """Keeps a store at the platform's state; a context manager of its tasks.

    Attributes:
        api: The platform.
        store: Where the objects go.
        platform_answered: Called with the instant before a question whose
            answer proved that the steering objects held are current.
        is_relay: Tells whether this host has the duty now.
        newest: By kind, the newest store version that a list has shown.
        watch_seconds: Usual time of one watch, in seconds.
    """

    def __init__(
        self,
        api: platform_store.Store,
        store: objects.ObjectStore,
        on_current_list: Callable[[float], None],
        is_relay: Callable[[], bool],
        clock: clocks.Clock,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self.api = api
        self.store = store
        self.on_current_list = on_current_list
        self.is_relay = is_relay
        self.clock = clock
        self.jitter = jitter
        self.newest_listed: dict[str, int] = dict.fromkeys(KINDS, 0)
        self.watch_seconds = WATCH_DURATION_SECONDS
        self.running_polls = 0
        self.platform_reachable = True
        self.tasks: list[eventlet.greenthread.GreenThread] = []

    def __enter__(self) -> "Watcher":
        self.tasks = [eventlet.spawn(self.watch_kind, kind) for kind in KINDS]
        self.tasks.append(eventlet.spawn(self.poll))
        return self

    def __exit__(self, *unused_error: object) -> None:
        for task in self.tasks:
            task.kill()

    def watch_kind(self, kind: str) -> None:
        """Lists and watches one kind for as long as the process runs."""
        version: int | None = None
        backoff = MIN_BACKOFF_SECONDS
        while True:
            if not self.is_relay():
                version = None
                self.clock.sleep(POLL_INTERVAL_SECONDS)
                continue
            started_at = self.clock.monotonic()
            try:
                if version is None:
                    version = self.list_kind(kind)
                version = self.watch_once(kind, version)
            except Exception as error:  # A task outlives any one failure.
                if getattr(error, "status", 0) == 410:
                    version = None
                logs.event(
                    LOGGER, "watch-failed", kind=kind, reason=repr(error)
                )
                duration = self.clock.monotonic() - started_at
                ran_long_enough = duration > BACKOFF_RESET_SECONDS
                backoff = (
                    MIN_BACKOFF_SECONDS if ran_long_enough else backoff * 2
                )
                backoff = min(MAX_BACKOFF_SECONDS, backoff)
            else:
                backoff = MIN_BACKOFF_SECONDS
            self.clock.sleep(backoff * (0.5 + self.jitter()))

    def poll(self) -> None:
        """Starts a question for each kind every second.

        A slow answer does not hold back the next question.
        """
        while True:
            if self.is_relay() and self.running_polls < MAX_CONCURRENT_POLLS:
                eventlet.spawn(self.poll_once)
            self.clock.sleep(
                POLL_INTERVAL_SECONDS * (0.9 + 0.2 * self.jitter())
            )

    def poll_once(self) -> None:
        """Asks once whether what is held is current; never raises."""
        with self._count_poll():
            try:
                revision = self.list_kind(objects.STEERING_OBJECTS)
                for kind in KINDS:
                    if self.newest_listed[kind] < revision:
                        self.list_kind(kind)
            except Exception as error:  # A task outlives any one failure.
                self._set_platform_reachable(False, repr(error))
            else:
                self._set_platform_reachable(True)

    def list_kind(self, kind: str) -> int:
        """Takes in a full list and returns the version that it shows."""
        min_list_version = self.min_list_version(kind)
        listing = self.api.list(kind)
        stored_objects = listing.objects()
        for stored in stored_objects:
            self._apply(kind, stored)
        self._finish_list(kind, listing, stored_objects, min_list_version)
        return listing.revision

    def watch_once(self, kind: str, version: int) -> int:
        """Follows one watch to its end; returns the newest version seen."""
        seconds = self.watch_seconds * (0.75 + 0.5 * self.jitter())
        watch = self.api.watch(kind, version, seconds)
        for change in watch.changes:
            stored = change.changed
            if change.deleted:
                self._store_object(
                    f"{kind}/{stored.name}", stored.version, None
                )
            else:
                self._apply(kind, stored)
        return max(version, watch.revision)

    def min_list_version(self, kind: str) -> int:
        """Returns the version below which a list of the kind is old."""
        stored_versions = (
            version
            for name, version in self.store.versions().items()
            if name.startswith(f"{kind}/")
        )
        return max([self.newest_listed[kind], *stored_versions])

    def _finish_list(
        self,
        kind: str,
        listing: platform_store.Listing,
        stored_objects: Sequence[platform_store.StoredObject],
        min_list_version: int,
    ) -> None:
        """Drops what is gone and reports proof, if the list gives any."""
        if listing.revision < min_list_version:
            logs.event(
                LOGGER,
                "stale-list",
                kind=kind,
                listed=listing.revision,
                known=min_list_version,
            )
            return
        self.newest_listed[kind] = max(
            self.newest_listed[kind], listing.revision
        )
        self._mark_unlisted_deleted(
            kind, listing.revision, {stored.name for stored in stored_objects}
        )
        if kind == objects.STEERING_OBJECTS:
            self.on_current_list(listing.asked_at)

    def _mark_unlisted_deleted(
        self, kind: str, revision: int, listed_names: set[str]
    ) -> None:
        """Marks the objects that a list lacks as deleted."""
        listed = {f"{kind}/{name}" for name in listed_names}
        for name, version in list(self.store.versions().items()):
            is_unlisted = name.startswith(f"{kind}/") and name not in listed
            if not is_unlisted or version >= revision:
                continue
            if self.store.get(name) is not None:
                self._store_object(name, revision, None)

    def _apply(self, kind: str, stored: platform_store.StoredObject) -> None:
        content = {} if stored.spec is None else stored.spec
        self._store_object(f"{kind}/{stored.name}", stored.version, content)

    def _store_object(self, name: str, version: int, content: Any) -> None:
        if self.store.apply(name, version, content):
            logs.event(
                LOGGER,
                "object-changed",
                object=name,
                version=version,
                deleted=content is None,
            )

    @contextlib.contextmanager
    def _count_poll(self) -> Iterator[None]:
        self.running_polls += 1
        try:
            yield
        finally:
            self.running_polls -= 1

    def _set_platform_reachable(
        self, reachable: bool, reason: str = ""
    ) -> None:
        """Logs when the platform stops or starts answering."""
        if reachable != self.platform_reachable:
            self.platform_reachable = reachable
            name = "platform-answers" if reachable else "platform-silent"
            logs.event(LOGGER, name, logging.WARNING, reason=reason)
