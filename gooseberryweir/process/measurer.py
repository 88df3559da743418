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
PROBE_SECONDS = 0.5
ANSWER_SECONDS = 1.0
MAX_PROBES = 64
# Upstreams to which a connection is kept between probes.
MAX_KEPT_UPSTREAMS = 1000
MAX_REPORT_BYTES = 4096
# Unanswered probes in a row after which an upstream takes no new work.
FAILED_PROBES = 2


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
    asked_at: float


def leaving_key(upstream: tables_module.UpstreamEntry) -> str:
    """Returns the fact that an upstream, at this address, leaves."""
    return f"leaving-upstream/{upstream.name}@{upstream.address}"


def serving_key(upstream: tables_module.UpstreamEntry) -> str:
    """Returns the fact that an upstream, at this address, serves again."""
    return f"serving-upstream/{upstream.name}@{upstream.address}"


def read_load(document: Any, asked_at: float) -> Load | None:
    """Reads a load report; None if it makes no sense."""
    try:
        busy, slots = int(document["busy"]), int(document["slots"])
        leaving = bool(document.get("leaving", False))
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    if busy < 0 or slots < 0:
        return None
    return Load(busy, slots, leaving, asked_at)


class Measurer:
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
        self.entries: dict[str, tables_module.UpstreamEntry] = {}
        self.http = urllib3.PoolManager(
            MAX_KEPT_UPSTREAMS, retries=False, maxsize=2
        )
        self.probes = eventlet.GreenPool(MAX_PROBES)
        self.task: Any = None

    def __enter__(self) -> "Measurer":
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
            self.clock.sleep(PROBE_SECONDS)

    def probe_all(self) -> None:
        """Starts one probe of each upstream of the pools homed here."""
        self.entries = {
            entry.name: entry
            for entries in self.tables.upstreams.values()
            for entry in entries
        }
        for entry in self.entries.values():
            pool = f"slots/{entry.service}/{entry.region}"
            if self.is_home(pool) and self.probes.free():
                self.probes.spawn_n(self.probe, entry)

    def probe(self, entry: tables_module.UpstreamEntry) -> None:
        """Asks one upstream for its load."""
        asked_at = self.clock.monotonic()
        load = self.fetch(entry, asked_at)
        if load is None:
            count = self.failures.get(entry.name, 0) + 1
            self.failures[entry.name] = count
            if count == FAILED_PROBES:
                logs.event(
                    LOGGER,
                    "upstream-silent",
                    logging.WARNING,
                    upstream=entry.name,
                )
            return
        self.failures.pop(entry.name, None)
        self.loads[entry.name] = load
        if load.leaving != self.leaves(entry):
            name = "upstream-leaving" if load.leaving else "upstream-serving"
            logs.event(LOGGER, name, upstream=entry.name)
            key = leaving_key(entry) if load.leaving else serving_key(entry)
            self.facts.add(key, int(self.clock.wall() * 1000))

    def leaves(self, entry: tables_module.UpstreamEntry) -> bool:
        """Returns whether an upstream's newest word is that it leaves."""
        left = self.facts.get(leaving_key(entry))
        return left > self.facts.get(serving_key(entry))

    def fetch(
        self, entry: tables_module.UpstreamEntry, asked_at: float
    ) -> Load | None:
        """Returns the load that an upstream reports, or None."""
        try:
            response = self.http.request(
                "GET",
                f"http://{entry.address}/load",
                timeout=ANSWER_SECONDS,
                retries=False,
                preload_content=False,
            )
            data = response.read(MAX_REPORT_BYTES)
            response.release_conn()
            if response.status != 200:
                return None
            return read_load(json.loads(data), asked_at)
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return None

    def healthy(self, name: str) -> bool:
        """Returns whether an upstream may take new work."""
        entry = self.entries.get(name)
        if entry is None:
            return True
        if self.leaves(entry):
            return False
        if self.failures.get(name, 0) < FAILED_PROBES:
            return True
        return not self.is_home(f"slots/{entry.service}/{entry.region}")

    def reported(self, name: str) -> slot_capacity.LoadReport | None:
        """Returns the newest load report of an upstream."""
        load = self.loads.get(name)
        if load is None:
            return None
        age = self.clock.monotonic() - load.asked_at
        return slot_capacity.LoadReport(load.busy, load.slots, age)
