"""Performs a schedule of faults and operations on a running deployment."""

import contextlib
import random
import threading
import time
from typing import Any
from typing import NamedTuple

import urllib3

from test import _callers
from test import _common
from test import _deployments
from test import _operators

# Time after which a leaving upstream is sent no new requests.
LEAVING_SECONDS = 3.0
# Added to every time limit, as a busy machine may be slow.
MARGIN_SECONDS = 2.0
PROBE_INTERVAL_SECONDS = 0.25
STOP_TIMEOUT_SECONDS = 30.0
# Time from a return of the platform from a copy until what it lost is written
# again.
REWRITE_SECONDS = 1.0


class Event(NamedTuple):
    """A scheduled fault or operation.

    Attributes:
        at: Time since the start of the schedule, seconds.
        kind: Name of the ScheduleRunner method that performs the event, with
            hyphens.
        target: Name of a host, upstream or region, or "platform".
        seconds: Duration of the fault, seconds.
    """

    at: float
    kind: str
    target: str
    seconds: float


class Span(NamedTuple):
    """The time during which an event was performed.

    Attributes:
        kind: Kind of the event; in `leaving_spans` how the leaving was
            announced: "signal", "listed" or "drained".
        target: Target of the event.
        started_at: Monotonic time of the start, seconds.
        ended_at: Monotonic time of the end, seconds.
    """

    kind: str
    target: str
    started_at: float
    ended_at: float


class Probe(NamedTuple):
    """A host's answer to a request on the route that a declaration adds.

    It shows whether the host uses that declaration.

    Attributes:
        host: Name of the host.
        pid: Process id of the host.
        path: Path of the route.
        sent_at: Monotonic time of sending, seconds.
        ended_at: Monotonic time of the answer, seconds.
        status: HTTP status.
        code: Result code of a refusal, or 0.
    """

    host: str
    pid: int
    path: str
    sent_at: float
    ended_at: float
    status: int
    code: int


class ScheduleRunner:
    """Performs events; records them and the answers of hosts.

    The methods named after the kinds of events take the target's name and the
    duration of the fault in seconds.

    Attributes:
        running: The running deployment.
        spans: Performed events and their times.
        apply_attempts: Attempts of operators to apply a declaration.
        probes: Answers of hosts to requests for these declarations' routes.
        withdrawn: Monotonic time at which the withdrawal of an API key was
            accepted, seconds, by key.
        issued: Keys issued by `withdraw`.
        leaving_spans: Times during which upstreams were leaving.
        failures: Descriptions of the events that failed.
        locks: Locks by target, or by kind for races, key withdrawals and
            drains; events with the same lock run one after another.
        lists_lock: Guards the lists of hosts and upstreams.
        callers: Clients that send the load.
        stopped: Set when the schedule is over; ends probes.
    """

    def __init__(self, running: _common.Deployment) -> None:
        self.running = running
        self.spans: list[Span] = []
        self.apply_attempts: list[_operators.ApplyAttempt] = []
        self.probes: list[Probe] = []
        self.withdrawn: dict[str, float] = {}
        self.issued: list[str] = []
        self.leaving_spans: list[Span] = []
        self.failures: list[str] = []
        self.locks: dict[str, threading.Lock] = {}
        self.lists_lock = threading.Lock()
        self.callers = _callers.Callers(running, 1)
        self.stopped = threading.Event()

    def lock(self, name: str) -> threading.Lock:
        """Returns the lock of a target or kind, held while an event runs."""
        return self.locks.setdefault(name, threading.Lock())

    def perform(self, event: Event, schedule_started_at: float) -> None:
        """Waits for an event's time and performs it.

        Args:
            event: The event.
            schedule_started_at: Monotonic time at which the schedule started,
                seconds.
        """
        time.sleep(max(0.0, schedule_started_at + event.at - time.monotonic()))
        action = getattr(self, event.kind.replace("-", "_"))
        lock_name = event.target
        if event.kind in ("race", "withdraw", "drain"):
            lock_name = event.kind
        try:
            with self.lock(lock_name):
                started_at = time.monotonic()
                action(event.target, event.seconds)
                self.spans.append(
                    Span(event.kind, event.target, started_at, time.monotonic())
                )
        except Exception as error:
            self.failures.append(f"{event}: {error!r}")

    # Faults of processes.

    def kill_host(self, name: str, seconds: float) -> None:
        """Kills a host and restarts it after half of the duration."""
        self.running.hosts[name].kill()
        time.sleep(seconds / 2)
        self.restart_host(name)

    def stop_host(self, name: str, seconds: float) -> None:
        """Stops a host with SIGTERM and restarts it."""
        process = self.running.hosts[name]
        process.terminate()
        exit_code = process.wait(STOP_TIMEOUT_SECONDS)
        if exit_code or "cut_off=0" not in process.output():
            self.failures.append(
                f"planned stop of {name}: exit code {exit_code},"
                " or requests cut off"
            )
        self.restart_host(name)

    def restart_host(self, name: str) -> None:
        """Restarts a host; its addresses at the fault proxy stay the same."""
        self.running.start_host(name)
        self.running.wait_host_ready(name)

    def freeze_host(self, name: str, seconds: float) -> None:
        """Pauses a host's process."""
        self.running.hosts[name].freeze()
        time.sleep(seconds)
        self.running.hosts[name].unfreeze()

    def kill_upstream(self, name: str, seconds: float) -> None:
        """Kills an upstream and restarts it after half of the duration."""
        self.running.upstreams[name].kill()
        time.sleep(seconds / 2)
        self.running.start_upstream(name)
        self.running.wait_upstream_ready(name)

    def freeze_upstream(self, name: str, seconds: float) -> None:
        """Pauses an upstream's process."""
        self.running.upstreams[name].freeze()
        time.sleep(seconds)
        self.running.upstreams[name].unfreeze()

    def leave_upstream(self, name: str, seconds: float) -> None:
        """Makes an upstream report that it is leaving, then replaces it."""
        process = self.running.upstreams[name]
        _common.fetch_json(process.url("/_control"), {"leaving": True})
        started_at = time.monotonic()
        time.sleep(LEAVING_SECONDS + MARGIN_SECONDS + seconds)
        self.leaving_spans.append(
            Span("signal", name, started_at, time.monotonic())
        )
        process.kill()
        self.running.start_upstream(name)
        self.running.wait_upstream_ready(name)

    def leave_in_platform_list(self, name: str, seconds: float) -> None:
        """Lists an upstream as leaving in the platform for some time."""
        with self.lists_lock:
            self.running.leaving.add(name)
            self.running.write_lists()
        started_at = time.monotonic()
        time.sleep(LEAVING_SECONDS + MARGIN_SECONDS + 2 * seconds)
        self.leaving_spans.append(
            Span("listed", name, started_at, time.monotonic())
        )
        with self.lists_lock:
            self.running.leaving.discard(name)
            self.running.write_lists()

    # Faults of the connections between processes, set at the fault proxy.

    def cut_host(self, name: str, seconds: float) -> None:
        """Holds back all bytes between a host and its peers and the platform.

        Clients and upstreams still reach the host, so it must detect the cut
        itself.
        """
        links = (f"{name}>peer:*", f"{name}>platform:*", f"*>peer:{name}")
        self.running.set_rules(*links, blackhole="both")
        time.sleep(seconds)
        self.running.set_rules(*links)

    def blackhole_regions(self, name: str, seconds: float) -> None:
        """Holds back all bytes between a region and the others."""
        self.set_region_rules(name, blackhole="both")
        time.sleep(seconds)
        self.set_region_rules(name)

    def cut_regions(self, name: str, seconds: float) -> None:
        """Resets all connections between a region and the others."""
        self.set_region_rules(name, cut=True)
        time.sleep(seconds)
        self.set_region_rules(name)

    def set_region_rules(self, name: str, **fields: Any) -> None:
        """Sets a proxy rule between a region and each other region."""
        for other in _deployments.REGIONS:
            if other != name:
                self.running.set_rules_between(
                    f"{name}-*", f"{other}-*", **fields
                )

    def cut_platform(self, name: str, seconds: float) -> None:
        """Resets all connections between a region and the platform."""
        self.running.set_rules(f"{name}-*>platform:*", cut=True)
        time.sleep(seconds)
        self.running.set_rules(f"{name}-*>platform:*")

    # Faults of the platform.

    def set_switches(self, seconds: float, **switches: Any) -> None:
        """Sets faults of the platform's stand-in for a time in seconds.

        If the time is 0, the faults stay set.
        """
        self.running.control(**switches)
        time.sleep(seconds)
        if seconds:
            defaults = {name: type(value)() for name, value in switches.items()}
            self.running.control(**defaults)

    def refuse_calls(self, _: str, seconds: float) -> None:
        """Makes the platform close connections without an answer."""
        self.set_switches(seconds, outage="refuse")

    def hang_calls(self, _: str, seconds: float) -> None:
        """Makes the platform leave calls unanswered."""
        self.set_switches(seconds, outage="hang")

    def slow_calls(self, _: str, seconds: float) -> None:
        """Makes the platform delay each call by 1.5 s."""
        self.set_switches(seconds, delay_ms=1500.0)

    def unreliable_watches(self, _: str, seconds: float) -> None:
        """Makes the platform send watch events late, twice and out of order."""
        self.set_switches(
            seconds,
            watch_late_ms=6000.0,
            watch_twice=True,
            watch_shuffled=True,
        )

    def lose_answers(self, _: str, seconds: float) -> None:
        """Makes the platform apply the next two writes but not answer them."""
        self.set_switches(0.0, lose_answers=2)

    def lag_lists(self, _: str, seconds: float) -> None:
        """Delays changes of the lists of hosts and upstreams by 2 s."""
        self.set_switches(seconds, list_lag_ms=2000.0)

    def stale_reads(self, _: str, seconds: float) -> None:
        """Makes the platform answer reads from an old state."""
        self.set_switches(seconds, stale_reads=True)

    def return_from_copy(self, _: str, seconds: float) -> None:
        """Makes the platform lose the changes of so many seconds.

        They are written again a little later, unless there is a newer change.
        No operator's command runs meanwhile.
        """
        with contextlib.ExitStack() as stack:
            for name in ("race", "withdraw", "drain"):
                stack.enter_context(self.lock(name))
            stack.enter_context(self.lists_lock)
            before = self.read_objects()
            self.running.control(return_from_copy=seconds)
            returned = self.read_objects()
            time.sleep(REWRITE_SECONDS)
            now = self.read_objects()
            for key in before.keys() | returned.keys():
                is_unchanged = now.get(key) == returned.get(key)
                if before.get(key) != returned.get(key) and is_unchanged:
                    spec = before[key]["spec"] if key in before else None
                    self.running.put(*key, spec)

    def read_objects(self) -> dict[tuple[str, str], Any]:
        """Returns the platform's objects by kind and name."""
        return {
            (kind, item["metadata"]["name"]): item
            for kind in ("steeringobjects", "endpointslices")
            for item in _common.fetch_json(
                self.running.platform.url(f"/-/objects/{kind}")
            )["items"]
        }

    # Commands that operators run.

    def race(self, _: str, seconds: float) -> None:
        """Lets two operators apply different declarations at the same time."""
        number = len(self.apply_attempts)
        apply_attempts, outcomes = _operators.race_to_apply(
            self.running, number
        )
        accepted = sum(bool(attempt.accepted_at) for attempt in apply_attempts)
        self.apply_attempts += apply_attempts
        if accepted > 1:
            self.failures.append(f"both declarations accepted: {outcomes}")

    def withdraw(self, _: str, seconds: float) -> None:
        """Issues a key, withdraws it after 1 s and records the time."""
        outcome = _operators.run(self.running, "key", "issue", "cid")
        lines = [line.split() for _, line in outcome.lines]
        keys = [words[1] for words in lines if words[:1] == ["key:"]]
        if not keys:
            return
        self.issued.append(keys[0])
        time.sleep(1.0)
        outcome = _operators.run(self.running, "key", "withdraw", keys[0])
        if outcome.exit_code == 0:
            self.withdrawn[keys[0]] = time.monotonic()

    def drain(self, name: str, seconds: float) -> None:
        """Drains an upstream (it gets no new requests) for some time."""
        outcome = _operators.run(self.running, "drain", f"upstream/{name}")
        started_at = time.monotonic()
        time.sleep(seconds + LEAVING_SECONDS + MARGIN_SECONDS)
        if outcome.exit_code == 0:
            self.leaving_spans.append(
                Span("drained", name, started_at, time.monotonic())
            )
        for _ in range(5):
            outcome = _operators.run(
                self.running, "drain", f"upstream/{name}", "--undo"
            )
            if outcome.exit_code in (0, 4):
                return
        self.failures.append(f"drain not undone: {outcome}")

    # Clients in addition to the main load.

    def send_with_issued_keys(self) -> None:
        """Sends requests with the two newest issued keys, withdrawn or not."""
        callers = self.callers
        while not self.stopped.wait(0.05):
            look_up = callers.look_ups.get("cid")
            for key in self.issued[-2:] if look_up else ():
                number = next(callers.request_numbers)
                request = _callers.Request(
                    number, "cid", key, f"/contracts/k{number}", ""
                )
                host = random.choice(list(self.running.host_specs))
                callers.futures.append(
                    callers.pool.submit(callers.send, request, host, 0.0)
                )
                time.sleep(0.1)

    def probe(self, host: str) -> None:
        """Requests the routes of the newest four declarations from a host."""
        while not self.stopped.wait(PROBE_INTERVAL_SECONDS):
            for attempt in self.apply_attempts[-4:]:
                pid = self.running.hosts[host].pid
                sent_at = time.monotonic()
                with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
                    answer = self.running.call(
                        host, "GET", attempt.path, timeout=5.0
                    )
                    code = int(answer.headers.get("Gooseberryweir-Code", 0))
                    self.probes.append(
                        Probe(
                            host,
                            pid,
                            attempt.path,
                            sent_at,
                            time.monotonic(),
                            answer.status,
                            code,
                        )
                    )
