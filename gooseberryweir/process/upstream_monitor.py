"""Measures the upstreams of the pools whose home is this host.

Each upstream is asked for its load twice a second. What it says is only ever
used to lower what is granted; an upstream that does not answer, or says that
it leaves, takes no new work. That an upstream leaves or has died is a fact,
so every host stops using it at once, also while the platform's list lags.
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
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.shares import slot_capacity
from gooseberryweir.version import tables as tables_module

LOGGER = logging.getLogger(__name__)
PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 1.0
MAX_CONCURRENT_PROBES = 64
# Upstreams to which a connection is kept between probes.
MAX_POOLED_UPSTREAMS = 1000
MAX_REPORT_BYTES = 4096
# Unanswered probes in a row after which an upstream takes no new work.
UNHEALTHY_THRESHOLD = 2


class Load(NamedTuple):
    """What an upstream said of itself.

    Attributes:
        busy: Slots in use.
        slots: Slots that it has.
        leaving: Whether it takes no new work.
        asked_at: Monotonic instant before it was asked.
    """

    busy: int
    slots: int
    leaving: bool
    requested_at: float


def draining_fact_key(upstream: tables_module.UpstreamEntry) -> str:
    """Returns the fact that an upstream, at this address, leaves."""
    return f"leaving-upstream/{upstream.name}@{upstream.address}"


def serving_fact_key(upstream: tables_module.UpstreamEntry) -> str:
    """Returns the fact that an upstream, at this address, serves again."""
    return f"serving-upstream/{upstream.name}@{upstream.address}"


def parse_load(document: Any, requested_at: float) -> Load | None:
    """Reads a load report; None if it makes no sense."""
    try:
        busy, slots = int(document["busy"]), int(document["slots"])
        leaving = bool(document.get("leaving", False))
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    if busy < 0 or slots < 0:
        return None
    return Load(busy, slots, leaving, requested_at)


class UpstreamMonitor:
    """Load and health of upstreams as measured from this host.

    Attributes:
        loads: Newest report of each upstream by name.
        failures: Unanswered probes in a row, by name.
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
        self.task = eventlet.spawn(self.run)
        return self

    def __exit__(self, *_: object) -> None:
        if self.task is not None:
            self.task.kill()
        self.http.clear()

    def run(self) -> None:
        """Probes for the life of the process."""
        while True:
            self.probe_all()
            self.clock.sleep(PROBE_INTERVAL_SECONDS)

    def probe_all(self) -> None:
        """Starts one probe of each upstream of the pools homed here."""
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
        """Asks one upstream for its load."""
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
        if load.leaving != self.is_draining(upstream):
            event_name = (
                "upstream-leaving" if load.leaving else "upstream-serving"
            )
            logs.event(LOGGER, event_name, upstream=upstream.name)
            key = (
                draining_fact_key(upstream)
                if load.leaving
                else serving_fact_key(upstream)
            )
            self.facts.add(key, int(self.clock.wall() * 1000))

    def is_draining(self, upstream: tables_module.UpstreamEntry) -> bool:
        """Returns whether an upstream's newest word is that it leaves."""
        draining_at_ms = self.facts.get(draining_fact_key(upstream))
        return draining_at_ms > self.facts.get(serving_fact_key(upstream))

    def fetch_load(
        self, upstream: tables_module.UpstreamEntry, requested_at: float
    ) -> Load | None:
        """Returns the load that an upstream reports, or None."""
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
        """Returns whether an upstream may take new work."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return True
        if self.is_draining(upstream):
            return False
        if self.failures.get(name, 0) < UNHEALTHY_THRESHOLD:
            return True
        return not self.is_home(f"slots/{upstream.service}/{upstream.region}")

    def load_report(self, name: str) -> slot_capacity.Report | None:
        """Returns the newest load report of an upstream."""
        load = self.loads.get(name)
        if load is None:
            return None
        age = self.clock.monotonic() - load.requested_at
        return slot_capacity.Report(load.busy, load.slots, age)
