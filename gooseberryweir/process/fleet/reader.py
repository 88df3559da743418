"""Polls the store on one host at a time; heartbeats spread the result.

The relay with the lowest latency to the store polls (see `relays`). Another
host takes over when its own cache has not been confirmed to be up to date for
some time, whatever the reason: the polling host is down, partitioned or refused
by the store, or the two hosts are partitioned from each other.
"""

from collections.abc import Callable
import logging
import random
from typing import Any
from typing import NamedTuple

from eventlet import event

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir import tasks
from gooseberryweir.process.fleet import fleet_view
from gooseberryweir.process.fleet import heartbeat as heartbeat_module
from gooseberryweir.process.fleet import mesh as mesh_module
from gooseberryweir.process.fleet import relays
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.version import store_version

LOGGER = logging.getLogger(__name__)

# Interval of polls. A change in the store has to be active on all hosts within
# 2.5 s; a poll interval and a heartbeat to the peers leave a second or more of
# it.
POLL_SECONDS = 0.5
# Time since the configuration was last confirmed to be the newest one, after
# which the host with the lowest latency to the store takes over the polling; in
# normal operation heartbeats keep it below about 1.1 s.
TAKEOVER_SECONDS = 1.7
# Added to that time for each relay with a lower latency to the store.
TAKEOVER_STEP_SECONDS = 0.25
# Added to that time at hosts that are not relays, while they hear a relay of
# their region: they poll only if the store refuses all relays.
NO_RELAY_TAKEOVER_SECONDS = 1.5
# The same at hosts that hear no relay of their region: for each host of it that
# ranks before them, and at most.
LOST_RELAY_STEP_SECONDS = 0.05
MAX_LOST_RELAY_SECONDS = 0.3
# Shortest and longest wait after a failed call to the store; the wait doubles
# with each failure.
MIN_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 1.0
# Hosts whose entries the store has lost write them again spread over this time.
REGISTRATION_SPREAD_SECONDS = 2.0
# Hosts whose latencies to the store fall into the same step are ranked by name.
LATENCY_STEP_SECONDS = 0.01
# Latency that is assumed for a host without a successful call to the store.
UNKNOWN_LATENCY_SECONDS = 9.0


class ReadError(Exception):
    """A read from the store, or the registration of this host, failed.

    Attributes:
        answered: True if the store answered, but the answer can't be read.
    """

    def __init__(self, message: str, answered: bool = False) -> None:
        super().__init__(message)
        self.answered = answered


class ReadResult(NamedTuple):
    """Result of reading one kind of objects from the store.

    Attributes:
        snapshot: The objects with the version at which they were read.
        store_version: Version of the whole store at that time.
        requested_at: Monotonic time, in seconds, before the call was sent.
    """

    snapshot: store_cache_module.Snapshot
    store_version: store_version.StoreVersion
    requested_at: float


class Reader:
    """Polls the store unless another host does; a context manager.

    Attributes:
        read: Reads the objects of a kind from the store; raises `ReadError`.
        register: Registers this host in the store; raises `ReadError`.
        store_cache: Cache of the store's content.
        clock: Source of time.
        mesh: Exchanges heartbeats with the peers, or None; without it this host
            always polls.
        polling: True while this host polls the store; False during the polls
            before the first configuration.
        store_seconds: Latency of the last poll in seconds;
            `UNKNOWN_LATENCY_SECONDS` after a failed call.
        polled_at: Monotonic time, in seconds, at which the last successful
            poll was sent.
        latest_version: Latest version of the store seen in a poll; a poll
            reads the configuration alone.
        synced_version: Version up to which the other kinds have been read.
        registered_era: Era of the store in which this host's entry was last
            written or checked; `NO_ERA` before the first list of hosts.
        rng: Source of randomness for the time of writing the entry again.
        store_reachable: True if the last call to the store succeeded.
        sync_requested: Event that triggers a read of the other kinds.
        tasks: Tasks that poll the store and read the other kinds.
    """

    def __init__(
        self,
        read: Callable[[str], ReadResult],
        register: Callable[[], None],
        store_cache: store_cache_module.StoreCache,
        clock: clocks.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self.read = read
        self.register = register
        self.store_cache = store_cache
        self.clock = clock
        self.mesh: mesh_module.Mesh | None = None
        self.polling = False
        self.store_seconds = UNKNOWN_LATENCY_SECONDS
        self.polled_at = float("-inf")
        self.latest_version = store_version.NONE
        self.synced_version = store_version.NONE
        self.registered_era = store_version.NO_ERA
        self.rng = rng or random.Random()
        self.store_reachable = True
        self.sync_requested = event.Event()
        self.tasks: list[Any] = []

    def __enter__(self) -> "Reader":
        self.store_cache.listeners.append(self._on_cache_change)
        self.tasks = [
            tasks.spawn("register", self._register_until_done),
            tasks.spawn("poll", self._run),
            tasks.spawn("sync", self._sync_forever),
        ]
        return self

    def __exit__(self, *_: object) -> None:
        for task in self.tasks:
            task.kill()

    def _run(self) -> None:
        """Polls until there is a configuration, then if no other host does."""
        backoff = MIN_BACKOFF_SECONDS
        while self.store_cache.configuration is None:
            try:
                self._poll()
            except ReadError as error:
                self._set_store_reachable(False, error)
                self.clock.sleep(backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
                continue
            if self.store_cache.configuration is None:
                self.clock.sleep(POLL_SECONDS)
        self._poll_forever()

    def _register_after(self, delay_seconds: float) -> None:
        self.clock.sleep(delay_seconds)
        self._register_until_done()

    def _register_until_done(self) -> None:
        """Registers this host in the store; retries until it succeeds."""
        backoff = MIN_BACKOFF_SECONDS
        while True:
            try:
                self.register()
                return
            except ReadError as error:
                self._set_store_reachable(False, error)
                self.clock.sleep(backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    def _on_cache_change(self, kind: str) -> None:
        """Writes this host's entry again if the store returned without it."""
        if kind != store_cache_module.HOSTS or self.mesh is None:
            return
        era, registered_era = self.store_cache.era, self.registered_era
        self.registered_era = era
        # At the start the list may have been read before this host registered.
        if era == registered_era or registered_era == store_version.NO_ERA:
            return
        entry = self.mesh.view.entry
        if self.store_cache.hosts.get(entry.name) == entry:
            return
        delay_seconds = self.rng.uniform(0.0, REGISTRATION_SPREAD_SECONDS)
        logs.event(LOGGER, "registration-lost", era=era, retry_in=delay_seconds)
        self.tasks.append(
            tasks.spawn("register", self._register_after, delay_seconds)
        )

    def _poll_forever(self) -> None:
        """Polls the store at each interval in which this host should poll."""
        backoff = 0.0
        while True:
            self._update_polling()
            if not self.polling:
                self.clock.sleep(POLL_SECONDS / 5)
                continue
            try:
                self._poll()
                backoff = 0.0
            except ReadError as error:
                self._set_store_reachable(False, error)
                backoff = min(
                    max(MIN_BACKOFF_SECONDS, 2 * backoff), MAX_BACKOFF_SECONDS
                )
            self.clock.sleep(backoff or POLL_SECONDS)

    def _set_store_reachable(
        self, store_reachable: bool, error: Exception | None = None
    ) -> None:
        if store_reachable != self.store_reachable:
            self.store_reachable = store_reachable
            logs.event(
                LOGGER,
                "store-regained" if store_reachable else "store-lost",
                logging.INFO if store_reachable else logging.WARNING,
                reason=error or "",
                confirmed_age=self.store_cache.confirmed_age(),
            )
        if not store_reachable:
            self.store_seconds = UNKNOWN_LATENCY_SECONDS

    def _poll(self) -> None:
        """Reads the configuration and requests a sync if the store changed."""
        started_at = self.clock.monotonic()
        try:
            result = self._read_snapshot(store_cache_module.CONFIGURATION)
        except ReadError as error:
            if error.answered:
                # The other kinds may be readable.
                self._request_sync()
            raise
        self.store_seconds = self.clock.monotonic() - started_at
        self.polled_at = result.requested_at
        self._set_store_reachable(True)
        # The cached configuration is the newest one if its version is that of
        # the answer: the store has it, or only an earlier one.
        self.store_cache.confirm(
            store_cache_module.Rank(
                self.store_cache.configuration_number, result.snapshot.version
            ),
            result.requested_at,
        )
        self.latest_version = max(self.latest_version, result.store_version)
        if self.latest_version > self.synced_version:
            self._request_sync()
        if self.mesh is not None:
            self.mesh.send_now()

    def _request_sync(self) -> None:
        if not self.sync_requested.ready():
            self.sync_requested.send()

    def _sync_forever(self) -> None:
        """Reads all kinds but the configuration when the store has changed."""
        while True:
            self.sync_requested.wait()
            self.sync_requested = event.Event()
            target_version = self.latest_version
            # Each kind is read, also if another one can't be.
            results = [
                self._sync(kind)
                for kind in (
                    store_cache_module.EVACUATIONS,
                    store_cache_module.UPSTREAMS,
                    store_cache_module.HOSTS,
                )
            ]
            if all(results):
                self.synced_version = max(self.synced_version, target_version)
            # Otherwise the next poll requests the sync again.
            if any(results) and self.mesh is not None:
                self.mesh.send_now()

    def _sync(self, kind: str) -> bool:
        """Reads the objects of a kind; returns False if that failed."""
        try:
            self._read_snapshot(kind)
        except ReadError as error:
            self._set_store_reachable(False, error)
            return False
        except Exception as error:
            tasks.log_failure(f"read {kind}", error)
            return False
        return True

    def _read_snapshot(self, kind: str) -> ReadResult:
        """Reads the objects of a kind and caches them if they changed.

        Returns:
            The result; with the cached snapshot if the content is unchanged.
        """
        result = self.read(kind)
        snapshot = result.snapshot
        if snapshot.version.revision == 0:
            # The store has no configuration yet.
            return result
        old = self.store_cache.snapshots.get(kind)
        if (
            old is not None
            and old.content == snapshot.content
            and old.version.era == snapshot.version.era
            and not self._peer_is_newer(kind)
        ):
            # Unchanged content keeps its version, so that peers need no new
            # snapshot.
            return result._replace(snapshot=old)
        self.store_cache.accept(
            kind, snapshot.version, snapshot.content, "store"
        )
        return result

    def _peer_is_newer(self, kind: str) -> bool:
        """Returns True if a live peer reports a newer snapshot of a kind.

        Its content may differ from the cached one, so an unchanged snapshot is
        then cached and sent to the peers under its new version.
        """
        if self.mesh is None:
            return False
        return any(
            peer.last_heartbeat is not None
            and peer.last_heartbeat.rank(kind, self.store_cache)
            > self.store_cache.rank(kind)
            for peer in self.mesh.view.live_peers()
        )

    def _update_polling(self) -> None:
        """Starts or stops polling as needed and logs the change."""
        should_poll = self._should_poll()
        if should_poll != self.polling:
            self.polling = should_poll
            logs.event(
                LOGGER,
                "reading-begins" if should_poll else "reading-ends",
                confirmed_age=self.store_cache.confirmed_age(),
                store_seconds=self.store_seconds,
            )

    def _should_poll(self) -> bool:
        """Returns True if this host should start or continue to poll."""
        if self.mesh is None:
            return True
        if not self.polling:
            return (
                self.store_cache.confirmed_age()
                > TAKEOVER_SECONDS + self._takeover_delay(self.mesh)
            )
        own_rank = self._rank(self.store_seconds, self.mesh.settings.host)
        if (
            not self.mesh.is_relay
            and self.store_cache.confirmed_at > self.polled_at
        ):
            # Another host, which this one may not hear, has polled since.
            return False
        return not any(
            each.polling
            and each.store_seconds < UNKNOWN_LATENCY_SECONDS
            and each.confirmed_age < POLL_SECONDS
            and (
                not self.mesh.is_relay
                or self._rank(each.store_seconds, each.entry.name) < own_rank
            )
            for each in _relay_heartbeats(
                self.mesh, fleet_view.PEER_TIMEOUT_SECONDS
            )
        )

    def _takeover_delay(self, mesh: mesh_module.Mesh) -> float:
        """Returns the seconds for which other hosts may take over first.

        A host that was not heard for `RELAY_TIMEOUT_SECONDS` does not count: it
        may be down together with the polling host.
        """
        own_rank = self._rank(self.store_seconds, mesh.settings.host)
        heard = _relay_heartbeats(mesh, fleet_view.RELAY_TIMEOUT_SECONDS)
        delay = TAKEOVER_STEP_SECONDS * sum(
            1
            for each in heard
            if self._rank(each.store_seconds, each.entry.name) < own_rank
        )
        if mesh.is_relay:
            return delay
        region = mesh.settings.region
        ranked = relays.rank(region, mesh.view.ranked_hosts(region))
        hosts_ahead = ranked.index(mesh.settings.host)
        if any(each.entry.region == region for each in heard):
            return (
                delay
                + NO_RELAY_TAKEOVER_SECONDS
                + TAKEOVER_STEP_SECONDS * hosts_ahead
            )
        return delay + min(
            LOST_RELAY_STEP_SECONDS * hosts_ahead, MAX_LOST_RELAY_SECONDS
        )

    def _rank(self, store_seconds: float, name: str) -> tuple[int, str]:
        """Returns a sort key; the host with the lowest one should poll."""
        return (int(store_seconds / LATENCY_STEP_SECONDS), name)


def _relay_heartbeats(
    mesh: mesh_module.Mesh, seconds: float
) -> list[heartbeat_module.Heartbeat]:
    """Returns the latest heartbeats of the relays that were heard recently.

    Args:
        mesh: Knows the heartbeats.
        seconds: Greatest age of the heartbeats.
    """
    return [
        each
        for each in mesh.view.recent_heartbeats(seconds)
        if not each.shutting_down
        # Earlier builds have no relays; each of their hosts may poll.
        and (each.relaying is None or each.relaying.is_relay)
    ]
