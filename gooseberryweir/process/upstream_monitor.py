"""Monitors the load and health of upstreams by probes.

A pool is the slots of one service in one region; its home is the host that
grants them. A host probes the upstreams of the pools that it is the home of,
twice a second. A load report can only lower the slots that are granted. An
upstream that does not answer, or reports that it is draining, is sent no new
requests. The start and the end of draining are shared as facts (key-value
entries that all hosts replicate), so that every host reacts at once, even if
the platform's list is out of date.
"""

from collections.abc import Callable
import json
import logging
from typing import Any
from typing import NamedTuple

import eventlet
import urllib3

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir import tasks
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.shares import slot_capacity
from gooseberryweir.version import tables as tables_module

LOGGER = logging.getLogger(__name__)
PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 1.0
MAX_CONCURRENT_PROBES = 64
# Upstreams whose connections are kept open between probes.
MAX_POOLED_UPSTREAMS = 1000
MAX_REPORT_BYTES = 4096
# Consecutive failed probes after which an upstream is sent no new requests.
UNHEALTHY_THRESHOLD = 2


class Load(NamedTuple):
    """Load report of an upstream.

    Attributes:
        busy: Number of slots in use.
        slots: Total number of slots.
        draining: True if the upstream takes no new requests.
        requested_at: Monotonic time just before the probe was sent, seconds.
    """

    busy: int
    slots: int
    draining: bool
    requested_at: float


def draining_fact_key(upstream: tables_module.UpstreamEntry) -> str:
    """Returns the key of the fact that an upstream is draining.

    The key includes the address, so the fact does not apply to an upstream of
    the same name at another address.
    """
    return f"leaving-upstream/{upstream.name}@{upstream.address}"


def serving_fact_key(upstream: tables_module.UpstreamEntry) -> str:
    """Returns the key of the fact that an upstream takes requests again.

    The key includes the address, as that of `draining_fact_key` does.
    """
    return f"serving-upstream/{upstream.name}@{upstream.address}"


def parse_load(document: Any, requested_at: float) -> Load | None:
    """Parses a load report; returns None if it is invalid."""
    try:
        busy, slots = int(document["busy"]), int(document["slots"])
        draining = bool(document.get("leaving", False))
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    if busy < 0 or slots < 0:
        return None
    return Load(busy, slots, draining, requested_at)


class UpstreamMonitor:
    """Probes upstreams and keeps their latest load and health.

    Attributes:
        clock: Source of time.
        tables: Active tables with the listed upstreams.
        facts: Facts shared between the hosts.
        is_home: Returns True if this host is the home of the named pool.
        loads: Latest load report of each upstream, by name.
        failures: Consecutive failed probes of each upstream, by name.
        upstreams: Upstreams that were listed at the latest round of probes, by
            name.
        http: HTTP client with the connections to the upstreams.
        probe_pool: Green threads that run the probes in flight.
        task: The background task, or None before the start.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        tables: tables_module.Tables,
        facts: facts_module.Facts,
        is_home: Callable[[str], bool],
    ) -> None:
        self.clock = clock
        self.tables = tables
        self.facts = facts
        self.is_home = is_home
        self.loads: dict[str, Load] = {}
        self.failures: dict[str, int] = {}
        self.upstreams: dict[str, tables_module.UpstreamEntry] = {}
        self.http = urllib3.PoolManager(
            MAX_POOLED_UPSTREAMS, retries=False, maxsize=2
        )
        self.probe_pool = eventlet.GreenPool(MAX_CONCURRENT_PROBES)
        self.task: Any = None

    def __enter__(self) -> "UpstreamMonitor":
        self.task = tasks.spawn("probe upstreams", self.run)
        return self

    def __exit__(self, *_: object) -> None:
        if self.task is not None:
            self.task.kill()
        self.http.clear()

    def run(self) -> None:
        """Probes the upstreams at intervals until killed."""
        while True:
            self.probe_all()
            self.clock.sleep(PROBE_INTERVAL_SECONDS)

    def probe_all(self) -> None:
        """Starts a probe of each upstream whose pool has this host as its home.

        Skips upstreams while MAX_CONCURRENT_PROBES are in flight.
        """
        self.upstreams = {
            upstream.name: upstream
            for upstreams in self.tables.upstreams.values()
            for upstream in upstreams
        }
        for upstream in self.upstreams.values():
            pool = f"slots/{upstream.service}/{upstream.region}"
            if self.is_home(pool) and self.probe_pool.free():
                self.probe_pool.spawn_n(self.probe, upstream)

    def probe(self, upstream: tables_module.UpstreamEntry) -> None:
        """Probes one upstream and records its load or the failure.

        If its draining has started or ended, also adds a fact that says so.
        """
        requested_at = self.clock.monotonic()
        load = self.fetch_load(upstream, requested_at)
        if load is None:
            count = self.failures.get(upstream.name, 0) + 1
            self.failures[upstream.name] = count
            if count == UNHEALTHY_THRESHOLD:
                logs.event(
                    LOGGER,
                    "upstream-silent",
                    logging.WARNING,
                    upstream=upstream.name,
                )
            return
        self.failures.pop(upstream.name, None)
        self.loads[upstream.name] = load
        if load.draining != self.is_draining(upstream):
            event_name = (
                "upstream-leaving" if load.draining else "upstream-serving"
            )
            logs.event(LOGGER, event_name, upstream=upstream.name)
            key = (
                draining_fact_key(upstream)
                if load.draining
                else serving_fact_key(upstream)
            )
            self.facts.add(key, int(self.clock.wall() * 1000))

    def is_draining(self, upstream: tables_module.UpstreamEntry) -> bool:
        """Returns True if the latest fact says that an upstream is draining."""
        draining_at_ms = self.facts.get(draining_fact_key(upstream))
        return draining_at_ms > self.facts.get(serving_fact_key(upstream))

    def fetch_load(
        self, upstream: tables_module.UpstreamEntry, requested_at: float
    ) -> Load | None:
        """Requests the load of an upstream; returns None on a failure."""
        try:
            response = self.http.request(
                "GET",
                f"http://{upstream.address}/load",
                timeout=PROBE_TIMEOUT_SECONDS,
                retries=False,
                preload_content=False,
            )
            data = response.read(MAX_REPORT_BYTES)
            response.release_conn()
            if response.status != 200:
                return None
            return parse_load(json.loads(data), requested_at)
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return None

    def is_healthy(self, name: str) -> bool:
        """Returns True if an upstream may be sent new requests.

        Failed probes count only while this host is the home of the pool.
        """
        upstream = self.upstreams.get(name)
        if upstream is None:
            return True
        if self.is_draining(upstream):
            return False
        if self.failures.get(name, 0) < UNHEALTHY_THRESHOLD:
            return True
        return not self.is_home(f"slots/{upstream.service}/{upstream.region}")

    def load_report(self, name: str) -> slot_capacity.LoadReport | None:
        """Returns the latest load report of an upstream, or None."""
        load = self.loads.get(name)
        if load is None:
            return None
        age = self.clock.monotonic() - load.requested_at
        return slot_capacity.LoadReport(load.busy, load.slots, age)
