"""A deployment under faults, operators' acts and probes, as it happens."""

import contextlib
import random
import threading
import time
from typing import Any
from typing import NamedTuple

import urllib3

from test import _callers
from test import _common
from test import _declared
from test import _operators

# The users' bound, and what a busy machine may add to any bound.
LEAVING_SECONDS = 3.0
MARGIN_SECONDS = 2.0
PROBE_SECONDS = 0.25
STOP_SECONDS = 30.0


class Event(NamedTuple):
    """One thing that happens, in seconds since the start of the schedule."""

    at: float
    kind: str
    target: str
    seconds: float


class Span(NamedTuple):
    """When something was so, as monotonic instants."""

    what: str
    target: str
    began: float
    ended: float


class Probe(NamedTuple):
    """What one host said of one epoch's route."""

    host: str
    pid: int
    path: str
    sent_at: float
    ended_at: float
    status: int
    code: int


class World:
    """A deployment under a schedule.

    Attributes:
        running: The deployment.
        spans: What was done, and when.
        epochs: Declarations that operators tried to put in force.
        probes: What hosts said of them.
        withdrawn: When each withdrawn key's withdrawal was accepted.
        left: When each upstream began to leave.
        failures: What went wrong outside the conditions.
    """

    def __init__(self, running: _common.Deployment) -> None:
        self.running = running
        self.spans: list[Span] = []
        self.epochs: list[_operators.ApplyAttempt] = []
        self.probes: list[Probe] = []
        self.withdrawn: dict[str, float] = {}
        self.issued: list[str] = []
        self.left: list[Span] = []
        self.failures: list[str] = []
        self.locks: dict[str, threading.Lock] = {}
        self.lists = threading.Lock()
        self.callers = _callers.Callers(running, 1)
        self.stopped = threading.Event()

    def lock(self, name: str) -> threading.Lock:
        """Returns the lock of one target, so that faults of it queue up."""
        return self.locks.setdefault(name, threading.Lock())

    def perform(self, event: Event, began: float) -> None:
        """Waits for an event's time and lets it happen."""
        time.sleep(max(0.0, began + event.at - time.monotonic()))
        act = getattr(self, event.kind.replace("-", "_"))
        lock = event.target
        if event.kind in ("race", "withdraw", "drain"):
            lock = event.kind
        try:
            with self.lock(lock):
                at = time.monotonic()
                act(event.target, event.seconds)
                self.spans.append(
                    Span(event.kind, event.target, at, time.monotonic())
                )
        except Exception as error:
            self.failures.append(f"{event}: {error!r}")

    # Faults of processes.

    def kill_host(self, name: str, seconds: float) -> None:
        """Kills a host and starts it again."""
        self.running.hosts[name].kill()
        time.sleep(seconds / 2)
        self.restart_host(name)

    def stop_host(self, name: str, seconds: float) -> None:
        """Stops a host as planned and starts it again."""
        process = self.running.hosts[name]
        process.terminate()
        exit_code = process.wait(STOP_SECONDS)
        if exit_code or "cut_off=0" not in process.text():
            self.failures.append(f"planned stop of {name}: exit {exit_code}")
        self.restart_host(name)

    def restart_host(self, name: str) -> None:
        """Starts a host again at the address that is listed."""
        self.running.start_host(name)
        self.running.host_ready(name)

    def freeze_host(self, name: str, seconds: float) -> None:
        """Pauses a host."""
        self.running.hosts[name].freeze()
        time.sleep(seconds)
        self.running.hosts[name].wake()

    def kill_upstream(self, name: str, seconds: float) -> None:
        """Kills an upstream and starts it again."""
        self.running.upstreams[name].kill()
        time.sleep(seconds / 2)
        self.running.start_upstream(name)
        self.running.upstream_ready(name)

    def freeze_upstream(self, name: str, seconds: float) -> None:
        """Pauses an upstream."""
        self.running.upstreams[name].freeze()
        time.sleep(seconds)
        self.running.upstreams[name].wake()

    def leave_upstream(self, name: str, seconds: float) -> None:
        """Lets an upstream say that it leaves; then replaces it."""
        process = self.running.upstreams[name]
        _common.fetch_json(process.url("/_control"), {"leaving": True})
        began = time.monotonic()
        time.sleep(LEAVING_SECONDS + MARGIN_SECONDS + seconds)
        self.left.append(Span("signal", name, began, time.monotonic()))
        process.kill()
        self.running.start_upstream(name)
        self.running.upstream_ready(name)

    def leave_listed(self, name: str, seconds: float) -> None:
        """Lets the platform's list call an upstream leaving for a while."""
        with self.lists:
            self.running.leaving.add(name)
            self.running.write_lists()
        began = time.monotonic()
        time.sleep(LEAVING_SECONDS + MARGIN_SECONDS + 2 * seconds)
        self.left.append(Span("listed", name, began, time.monotonic()))
        with self.lists:
            self.running.leaving.discard(name)
            self.running.write_lists()

    # Faults of links.

    def cut_host(self, name: str, seconds: float) -> None:
        """Holds what goes between a host and its peers and the platform.

        Callers and upstreams still reach it, so it must find out itself.
        """
        links = (f"{name}>peer:*", f"{name}>platform:*", f"*>peer:{name}")
        self.running.rules(*links, blackhole="both")
        time.sleep(seconds)
        self.running.rules(*links)

    def blackhole_regions(self, name: str, seconds: float) -> None:
        """Holds what goes between a region and the others."""
        self.regions(name, blackhole="both")
        time.sleep(seconds)
        self.regions(name)

    def cut_regions(self, name: str, seconds: float) -> None:
        """Resets what goes between a region and the others."""
        self.regions(name, cut=True)
        time.sleep(seconds)
        self.regions(name)

    def regions(self, name: str, **fields: Any) -> None:
        """Sets a rule between a region and all others."""
        for other in _declared.REGIONS:
            if other != name:
                self.running.between(f"{name}-*", f"{other}-*", **fields)

    def cut_platform(self, name: str, seconds: float) -> None:
        """Cuts a region off from the platform only."""
        self.running.rules(f"{name}-*>platform:*", cut=True)
        time.sleep(seconds)
        self.running.rules(f"{name}-*>platform:*")

    # Faults of the platform.

    def switch(self, seconds: float, **switches: Any) -> None:
        """Sets switches of the platform, for a while unless it is 0."""
        self.running.control(**switches)
        time.sleep(seconds)
        if seconds:
            off = {name: type(value)() for name, value in switches.items()}
            self.running.control(**off)

    def refuse(self, _: str, seconds: float) -> None:
        """Lets the platform refuse."""
        self.switch(seconds, outage="refuse")

    def hang(self, _: str, seconds: float) -> None:
        """Lets the platform not answer."""
        self.switch(seconds, outage="hang")

    def slow(self, _: str, seconds: float) -> None:
        """Slows the platform."""
        self.switch(seconds, delay_ms=1500.0)

    def watches(self, _: str, seconds: float) -> None:
        """Lets watches come late, twice and out of order."""
        self.switch(
            seconds,
            watch_late_ms=6000.0,
            watch_twice=True,
            watch_shuffled=True,
        )

    def lost(self, _: str, seconds: float) -> None:
        """Loses the answers of the next writes."""
        self.switch(0.0, lose_answers=2)

    def lag(self, _: str, seconds: float) -> None:
        """Lets the lists lag."""
        self.switch(seconds, list_lag_ms=2000.0)

    def stale(self, _: str, seconds: float) -> None:
        """Lets the platform answer reads from an old state."""
        self.switch(seconds, stale_reads=True)

    # Operators.

    def race(self, _: str, seconds: float) -> None:
        """Two operators race on the declaration."""
        number = len(self.epochs)
        epochs, outcomes = _operators.race_to_apply(self.running, number)
        accepted = sum(bool(epoch.accepted_at) for epoch in epochs)
        self.epochs += epochs
        if accepted > 1:
            self.failures.append(f"both operators won: {outcomes}")

    def withdraw(self, _: str, seconds: float) -> None:
        """Issues a key, uses it, and withdraws it."""
        out = _operators.run(self.running, "key", "issue", "cid")
        words = [line.split() for _, line in out.lines]
        keys = [word[1] for word in words if word[:1] == ["key:"]]
        if not keys:
            return
        self.issued.append(keys[0])
        time.sleep(1.0)
        out = _operators.run(self.running, "key", "withdraw", keys[0])
        if out.exit_code == 0:
            self.withdrawn[keys[0]] = time.monotonic()

    def drain(self, name: str, seconds: float) -> None:
        """Drains an upstream for a while."""
        out = _operators.run(self.running, "drain", f"upstream/{name}")
        began = time.monotonic()
        time.sleep(seconds + LEAVING_SECONDS + MARGIN_SECONDS)
        if out.exit_code == 0:
            self.left.append(Span("drained", name, began, time.monotonic()))
        for _ in range(5):
            out = _operators.run(
                self.running, "drain", f"upstream/{name}", "--undo"
            )
            if out.exit_code in (0, 4):
                return
        self.failures.append(f"undrain: {out}")

    # Callers beside the main load.

    def use_issued(self) -> None:
        """Sends requests with the issued keys, withdrawn or not."""
        callers = self.callers
        while not self.stopped.wait(0.05):
            looked_up = callers.look_ups.get("cid")
            for key in self.issued[-2:] if looked_up else ():
                number = next(callers.numbers)
                request = _callers.Request(
                    number, "cid", key, f"/contracts/k{number}", ""
                )
                host = random.choice(list(self.running.host_specs))
                callers.futures.append(
                    callers.pool.submit(callers.send, request, host, 0.0)
                )
                time.sleep(0.1)

    def probe(self, host: str) -> None:
        """Asks one host for the routes of the newest epochs."""
        while not self.stopped.wait(PROBE_SECONDS):
            for epoch in self.epochs[-4:]:
                pid = self.running.hosts[host].pid
                sent_at = time.monotonic()
                with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
                    answer = self.running.call(
                        host, "GET", epoch.path, timeout=5.0
                    )
                    code = int(answer.headers.get("Gooseberryweir-Code", 0))
                    self.probes.append(
                        Probe(
                            host,
                            pid,
                            epoch.path,
                            sent_at,
                            time.monotonic(),
                            answer.status,
                            code,
                        )
                    )
