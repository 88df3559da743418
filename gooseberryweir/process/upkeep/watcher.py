"""Copies the platform's objects to this host while the host is a relay.

A relay is a host that watches the platform itself; see `relay`.

Each kind is listed once and then watched. Watch events can be late, duplicated,
reordered or missing, so the steering objects are also listed every second, and
the other kinds if the platform has changed since their last list. A list
confirms that this host's objects are current, contains the changes that a watch
missed, and shows deletions. Versions only increase: an object that is older
than the one that this host has is ignored, and a list that is older than the
objects of this host confirms nothing. They order by the era of the platform's
store first (see `version.objects`), and what is of an earlier era is ignored.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Set
import contextlib
import logging
import random
from typing import Any

import eventlet

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir import tasks
from gooseberryweir.connection import messages
from gooseberryweir.platform import store as platform_store
from gooseberryweir.version import objects
from gooseberryweir.version import store_version

POLL_INTERVAL_SECONDS = 1.0
WATCH_DURATION_SECONDS = 20.0
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
BACKOFF_RESET_SECONDS = 1.0
MAX_CONCURRENT_POLLS = 4
KINDS = (objects.ENDPOINT_SLICES, objects.STEERING_OBJECTS)
# Status of a watch from a state that the store no longer has.
HTTP_GONE = 410
LOGGER = logging.getLogger(__name__)


def _encode_version(era: int, revision: int) -> int:
    """Returns the version of an object at a revision of an era."""
    return objects.encode_version(store_version.StoreVersion(era, revision))


def _log_stale_list(kind: str, version: int, known_version: int) -> None:
    logs.event(
        LOGGER, "stale-list", kind=kind, listed=version, known=known_version
    )


class Watcher:
    """Copies the platform's objects; a context manager of the tasks that do it.

    Attributes:
        api: Client of the platform's object API.
        store: Store into which the objects are copied.
        on_current_list: Called after a list that confirms that this host's
            steering objects are current, with the monotonic time just before
            the list was requested.
        is_relay: Returns True while this host watches the platform itself.
        clock: Source of time.
        jitter: Returns a random number from 0 to 1.
        newest_listed: Newest version of the platform in any list, by kind.
        watch_seconds: Mean duration of one watch, in seconds.
        running_polls: Number of polls without an answer yet.
        platform_reachable: True if the latest poll to end succeeded.
        tasks: The background tasks.
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
        self.tasks.append(tasks.spawn("poll", self.poll))
        return self

    def __exit__(self, *unused_error: object) -> None:
        for task in self.tasks:
            task.kill()

    def watch_kind(self, kind: str) -> None:
        """Lists and watches one kind until the task is killed."""
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
            except Exception as error:  # The task must keep running.
                # An event that can't be read would be returned again.
                if getattr(error, "status", 0) == HTTP_GONE or isinstance(
                    error, platform_store.MalformedError
                ):
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
        """Starts a poll every POLL_INTERVAL_SECONDS.

        A slow answer does not delay the next poll; at most
        MAX_CONCURRENT_POLLS run at once.
        """
        while True:
            if self.is_relay() and self.running_polls < MAX_CONCURRENT_POLLS:
                eventlet.spawn(self.poll_once)
            self.clock.sleep(
                POLL_INTERVAL_SECONDS * (0.9 + 0.2 * self.jitter())
            )

    def poll_once(self) -> None:
        """Lists the steering objects, and the other kinds if needed.

        The other kinds are listed if the platform has changed since their last
        list. Never raises; a failure sets `platform_reachable` to False.
        """
        with self._count_poll():
            try:
                version = self.list_kind(objects.STEERING_OBJECTS)
                for kind in KINDS:
                    if self.newest_listed[kind] < version:
                        self.list_kind(kind)
            except Exception as error:  # The task must keep running.
                self._set_platform_reachable(False, repr(error))
            else:
                self._set_platform_reachable(True)

    def list_kind(self, kind: str) -> int:
        """Stores the objects of a full list and returns its version."""
        min_fresh_version = self.min_fresh_version(kind)
        listing = self.api.list(kind)
        version = objects.encode_version(listing.version)
        readable, unreadable = listing.readable_objects()
        if objects.decode_version(version).era < self.store.era:
            _log_stale_list(kind, version, self.min_fresh_version(kind))
            return version
        for name in unreadable:
            _log_skipped(kind, name or "unknown", "unreadable")
        usable = [
            self._store_current(kind, stored, listing.era)
            for stored in readable
        ]
        names = {each.name for each in readable}.union(unreadable)
        self._finish_list(
            kind,
            listing,
            version,
            names,
            min_fresh_version,
            complete=not unreadable and all(usable),
        )
        return version

    def watch_once(self, kind: str, version: int) -> int:
        """Stores the changes of one watch and returns its newest version.

        Raises:
            platform_store.StoreError: The watch failed; status 410 if the store
                has returned from an older copy, so that a full list is needed.
        """
        seconds = self.watch_seconds * (0.75 + 0.5 * self.jitter())
        era, revision = objects.decode_version(version)
        watch = self.api.watch(kind, revision, seconds)
        if max(watch.era, store_version.FIRST_ERA) != era:
            raise platform_store.StoreError(
                HTTP_GONE, f"the watch is of era {watch.era}, not {era}"
            )
        for change in watch.changes:
            stored = change.stored_object
            if change.deleted:
                self._store_object(
                    f"{kind}/{stored.name}",
                    _encode_version(era, stored.version),
                    None,
                )
            else:
                self._store_current(kind, stored, era)
        return max(version, _encode_version(era, watch.revision))

    def min_fresh_version(self, kind: str) -> int:
        """Returns the version below which a list of a kind is stale."""
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
        version: int,
        names: Set[str | None],
        min_fresh_version: int,
        complete: bool,
    ) -> None:
        """Marks unlisted objects as deleted, unless the list is stale.

        Also calls `on_current_list` if it is a list of the steering objects.

        Args:
            kind: Kind of the objects.
            listing: The list.
            version: Version of the list.
            names: Names of the listed objects; with None if one is not known,
                so that no object is known to be missing.
            min_fresh_version: Version below which the list is stale.
            complete: True if all objects of the list could be used.
        """
        if version < min_fresh_version:
            _log_stale_list(kind, version, min_fresh_version)
            return
        self.newest_listed[kind] = max(self.newest_listed[kind], version)
        if None not in names:
            self._mark_unlisted_deleted(kind, version, names)
        if complete and kind == objects.STEERING_OBJECTS:
            self.on_current_list(listing.requested_at)

    def _mark_unlisted_deleted(
        self, kind: str, listed_version: int, listed_names: Set[str | None]
    ) -> None:
        """Marks the objects that are missing from a list as deleted."""
        listed = {f"{kind}/{name}" for name in listed_names}
        for name, version in list(self.store.versions().items()):
            is_unlisted = name.startswith(f"{kind}/") and name not in listed
            if not is_unlisted or version >= listed_version:
                continue
            if self.store.get(name) is not None:
                self._store_object(name, listed_version, None)

    def _store_current(
        self, kind: str, stored: platform_store.StoredObject, era: int
    ) -> bool:
        """Stores an object that exists; a missing spec is stored as empty.

        Returns:
            False if it can't be sent to other hosts; the earlier one stays.
        """
        content = {} if stored.spec is None else stored.spec
        try:
            messages.check_content(content)
            version = _encode_version(era, stored.version)
        except ValueError as error:
            _log_skipped(kind, stored.name, error)
            return False
        self._store_object(f"{kind}/{stored.name}", version, content)
        return True

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
        """Counts a poll as running until the context ends."""
        self.running_polls += 1
        try:
            yield
        finally:
            self.running_polls -= 1

    def _set_platform_reachable(
        self, reachable: bool, reason: str = ""
    ) -> None:
        """Records the result of a poll and logs if reachability changed."""
        if reachable != self.platform_reachable:
            self.platform_reachable = reachable
            name = "platform-answers" if reachable else "platform-silent"
            logs.event(LOGGER, name, logging.WARNING, reason=reason)


def _log_skipped(kind: str, name: str, reason: Any) -> None:
    logs.event(
        LOGGER,
        "object-skipped",
        logging.WARNING,
        kind=kind,
        object=name,
        reason=reason,
    )
