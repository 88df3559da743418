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

POLL_SECONDS = 1.0
WATCH_SECONDS = 20.0
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 2.0
HEALTHY_SECONDS = 1.0
MAX_POLLS = 4
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
        platform_answered: Callable[[float], None],
        is_relay: Callable[[], bool],
        clock: clocks.Clock,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self.api = api
        self.store = store
        self.platform_answered = platform_answered
        self.is_relay = is_relay
        self.clock = clock
        self.jitter = jitter
        self.newest: dict[str, int] = dict.fromkeys(KINDS, 0)
        self.watch_seconds = WATCH_SECONDS
        self.polls = 0
        self.reachable = True
        self.tasks: list[eventlet.greenthread.GreenThread] = []

    def __enter__(self) -> "Watcher":
        self.tasks = [eventlet.spawn(self.follow, kind) for kind in KINDS]
        self.tasks.append(eventlet.spawn(self.poll))
        return self

    def __exit__(self, *unused_error: object) -> None:
        for task in self.tasks:
            task.kill()

    def follow(self, kind: str) -> None:
        """Lists and watches one kind for as long as the process runs."""
        version: int | None = None
        pause = MIN_PAUSE_SECONDS
        while True:
            if not self.is_relay():
                version = None
                self.clock.sleep(POLL_SECONDS)
                continue
            began = self.clock.monotonic()
            try:
                if version is None:
                    version = self.list_all(kind)
                version = self.watch_once(kind, version)
            except Exception as error:  # A task outlives any one failure.
                if getattr(error, "status", 0) == 410:
                    version = None
                logs.event(
                    LOGGER, "watch-failed", kind=kind, reason=repr(error)
                )
                lasted = self.clock.monotonic() - began
                healthy = lasted > HEALTHY_SECONDS
                pause = MIN_PAUSE_SECONDS if healthy else pause * 2
                pause = min(MAX_PAUSE_SECONDS, pause)
            else:
                pause = MIN_PAUSE_SECONDS
            self.clock.sleep(pause * (0.5 + self.jitter()))

    def poll(self) -> None:
        """Starts a question for each kind every second.

        A slow answer does not hold back the next question.
        """
        while True:
            if self.is_relay() and self.polls < MAX_POLLS:
                eventlet.spawn(self.poll_all)
            self.clock.sleep(POLL_SECONDS * (0.9 + 0.2 * self.jitter()))

    def poll_all(self) -> None:
        """Asks once whether what is held is current; never raises."""
        with self._counted():
            try:
                revision = self.list_all(objects.STEERING_OBJECTS)
                for kind in KINDS:
                    if self.newest[kind] < revision:
                        self.list_all(kind)
            except Exception as error:  # A task outlives any one failure.
                self._note_reachable(False, repr(error))
            else:
                self._note_reachable(True)

    def list_all(self, kind: str) -> int:
        """Takes in a full list and returns the version that it shows."""
        floor = self.floor(kind)
        listing = self.api.list(kind)
        found = listing.objects()
        for each in found:
            self._apply(kind, each)
        self._conclude(kind, listing, found, floor)
        return listing.revision

    def watch_once(self, kind: str, version: int) -> int:
        """Follows one watch to its end; returns the newest version seen."""
        seconds = self.watch_seconds * (0.75 + 0.5 * self.jitter())
        found = self.api.watch(kind, version, seconds)
        for change in found.changes:
            changed = change.stored_object
            if change.deleted:
                self._store(f"{kind}/{changed.name}", changed.version, None)
            else:
                self._apply(kind, changed)
        return max(version, found.revision)

    def floor(self, kind: str) -> int:
        """Returns the version below which a list of the kind is old."""
        held = (
            version
            for name, version in self.store.versions().items()
            if name.startswith(f"{kind}/")
        )
        return max([self.newest[kind], *held])

    def _conclude(
        self,
        kind: str,
        listing: platform_store.Listing,
        found: Sequence[platform_store.StoredObject],
        floor: int,
    ) -> None:
        """Drops what is gone and reports proof, if the list gives any."""
        if listing.revision < floor:
            logs.event(
                LOGGER,
                "stale-list",
                kind=kind,
                listed=listing.revision,
                known=floor,
            )
            return
        self.newest[kind] = max(self.newest[kind], listing.revision)
        self._bury(kind, listing.revision, {each.name for each in found})
        if kind == objects.STEERING_OBJECTS:
            self.platform_answered(listing.requested_at)

    def _bury(self, kind: str, revision: int, names: set[str]) -> None:
        """Marks the objects that a list lacks as deleted."""
        listed = {f"{kind}/{name}" for name in names}
        for name, version in list(self.store.versions().items()):
            gone = name.startswith(f"{kind}/") and name not in listed
            if not gone or version >= revision:
                continue
            if self.store.get(name) is not None:
                self._store(name, revision, None)

    def _apply(self, kind: str, changed: platform_store.StoredObject) -> None:
        content = {} if changed.spec is None else changed.spec
        self._store(f"{kind}/{changed.name}", changed.version, content)

    def _store(self, name: str, version: int, content: Any) -> None:
        if self.store.apply(name, version, content):
            logs.event(
                LOGGER,
                "object-changed",
                object=name,
                version=version,
                deleted=content is None,
            )

    @contextlib.contextmanager
    def _counted(self) -> Iterator[None]:
        self.polls += 1
        try:
            yield
        finally:
            self.polls -= 1

    def _note_reachable(self, reachable: bool, reason: str = "") -> None:
        """Logs when the platform stops or starts answering."""
        if reachable != self.reachable:
            self.reachable = reachable
            name = "platform-answers" if reachable else "platform-silent"
            logs.event(LOGGER, name, logging.WARNING, reason=reason)
