"""A seeded schedule of faults and operators' acts over a whole deployment."""

from collections.abc import Callable
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
from test import _fleet
from test import _judge
from test import _operators

# Rate and burst; "ada" sends five times its rate, "eve" is withdrawn.
ACCOUNTS = {"ada": (8.0, 4), "ben": (20.0, 12), "cid": (10.0, 5)}
TRAFFIC = [
    _callers.Traffic("ada", 40.0, 0.2),
    _callers.Traffic("ben", 12.0),
    _callers.Traffic("cid", 5.0, 0.6),
]
SHIFT_CAP = (40.0, 20)
LOOK_UP_SECONDS = 3.0
# The users' bounds, and what a busy machine may add to each.
KEY_SECONDS = 5.0
CONFIG_SECONDS = 9.0
LEAVING_SECONDS = 3.0
MARGIN_SECONDS = 2.0
LONGEST_FAULT_SECONDS = 4.0
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


def plan(seed: int, hosts: list[str], upstreams: list[str], seconds: float):
    """Draws a schedule from a seed."""
    source = random.Random(seed)
    regions = list(_declared.REGIONS)
    targets = {
        "kill-host": hosts,
        "freeze-host": hosts,
        "stop-host": hosts,
        "cut-host": hosts,
        "kill-upstream": upstreams,
        "freeze-upstream": upstreams,
        "leave-upstream": upstreams,
        "leave-listed": upstreams,
        "blackhole-regions": regions,
        "cut-regions": regions,
        "cut-platform": regions,
        "refuse": ["platform"],
        "hang": ["platform"],
        "slow": ["platform"],
        "watches": ["platform"],
        "lost": ["platform"],
        "lag": ["platform"],
    }
    always = ["race", "race", "withdraw", "withdraw", "drain"]
    drawn = source.sample(sorted(targets), 8) + ["stop-host", "leave-upstream"]
    events = [
        Event(
            source.uniform(0.5, seconds),
            kind,
            source.choice(targets.get(kind, upstreams)),
            source.uniform(1.0, LONGEST_FAULT_SECONDS),
        )
        for kind in always + drawn
    ]
    return sorted(events)


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
        self.epochs: list[_operators.Epoch] = []
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
        time.sleep(LEAVING_SECONDS + MARGIN_SECONDS + seconds)
        self.left.append(Span("listed", name, began, time.monotonic()))
        with self.lists:
            self.running.leaving.discard(name)
            self.running.write_lists()

    # Faults of links.

    def cut_host(self, name: str, seconds: float) -> None:
        """Holds all that a host sends to and gets from others."""
        self.running.around(name, blackhole="both")
        time.sleep(seconds)
        self.running.around(name)

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
            watch_late_ms=3000.0,
            watch_twice=True,
            watch_shuffled=True,
        )

    def lost(self, _: str, seconds: float) -> None:
        """Loses the answers of the next writes."""
        self.switch(0.0, lose_answers=2)

    def lag(self, _: str, seconds: float) -> None:
        """Lets the lists lag."""
        self.switch(seconds, list_lag_ms=2000.0)

    # Operators.

    def race(self, _: str, seconds: float) -> None:
        """Two operators race on the declaration."""
        number = len(self.epochs)
        epochs, outcomes = _operators.race(self.running, number)
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


class Verdict(NamedTuple):
    """What the schedule of one seed gave.

    Attributes:
        violations: Conditions that did not hold, and failures of the run.
        figures: What was done and seen, by name.
        spans: The faults.
        directory: Where the logs were, if they are kept.
    """

    violations: list[str]
    figures: dict[str, int]
    spans: list[Span]
    directory: str


def run(seed: int, seconds: float = 12.0, hosts: int = 6) -> Verdict:
    """Runs the schedule of a seed and judges it."""
    document = _declared.declarations(ACCOUNTS, SHIFT_CAP)
    upstreams = _fleet.spread(
        _declared.REGIONS,
        _declared.SERVICE,
        6,
        2,
        *("--service-ms", 150, "--seed", seed, "--journal"),
    )
    with _common.Deployment(
        _declared.REGIONS,
        document,
        upstreams,
        hosts=hosts,
        proxied=True,
        settings={"look_up_seconds": LOOK_UP_SECONDS},
    ) as running:
        _declared.wait_acquainted(running)
        world = World(running)
        names = list(running.host_specs)
        events = plan(seed, names, list(running.upstream_specs), seconds)
        drive(world, events, names)
        judged = _judge.Judge(
            running, world.callers.seen, ACCOUNTS, LONGEST_FAULT_SECONDS
        )
        return Verdict(
            world.failures + judge(world, judged),
            figures(world, judged),
            world.spans,
            str(running.directory),
        )


def drive(world: World, events: list[Event], names: list[str]) -> None:
    """Runs load, probes and events until all events are over."""
    began = time.monotonic()
    acts = [
        threading.Thread(target=world.perform, args=(event, began))
        for event in events
    ]
    over = threading.Event()
    load: list[Callable[[], Any]] = [
        lambda: world.callers.run(TRAFFIC, over.is_set),
        world.use_issued,
        *(lambda name=name: world.probe(name) for name in names),
    ]
    threads = [threading.Thread(target=each) for each in load]
    for thread in [*threads, *acts]:
        thread.start()
    for act in acts:
        act.join()
    # Time for the bounds to be seen to hold after the last event.
    time.sleep(MARGIN_SECONDS)
    over.set()
    world.stopped.set()
    for thread in threads:
        thread.join()
    world.callers.finish()


def figures(world: World, judged: _judge.Judge) -> dict[str, int]:
    """Counts what was done and seen, to show that the checks had work."""
    seen = world.callers.seen
    crossing = sum(
        start.ticket.partition("-")[0] != start.upstream.partition("-")[0]
        for start in judged.starts
        if start.ticket
    )
    return {
        "attempts": len(seen),
        "answered": sum(each.status == 200 for each in seen),
        "refused": sum(each.status > 200 for each in seen),
        "broken": sum(each.status == 0 for each in seen),
        "unknown": sum(each.code == 401 for each in seen),
        "starts": len(judged.starts),
        "signed": len({start.ticket for start in judged.starts}),
        "crossing": crossing,
        "faults": len(world.spans),
        "accepted": sum(bool(epoch.accepted_at) for epoch in world.epochs),
        "probes": len(world.probes),
        "withdrawn": len(world.withdrawn),
        "leaving": len(world.left),
    }


def judge(world: World, judged: _judge.Judge) -> list[str]:
    """Checks all conditions."""
    served = sum(each.status == 200 for each in world.callers.seen)
    found = judged.common()
    if not served:
        found.append("nothing was served")
    return [
        *found,
        *keys(world, judged),
        *leaving(world, judged),
        *stops(world),
        *configuration(world),
    ]


def keys(world: World, judged: _judge.Judge) -> list[str]:
    """A withdrawn key stops working within seconds."""
    found = []
    for attempt in world.callers.seen:
        withdrawn_at = world.withdrawn.get(attempt.request.key)
        if withdrawn_at is None:
            continue
        late = attempt.sent_at - withdrawn_at
        runs = judged.by_path[attempt.request.path]
        if late > KEY_SECONDS and runs:
            found.append(f"withdrawn {late:.1f} s: {_judge.describe(attempt)}")
    return found


def leaving(world: World, judged: _judge.Judge) -> list[str]:
    """A leaving upstream gets no new work after a few seconds.

    What was sent before may be held by an injected pause, so only requests
    that callers sent after the bound count.
    """
    sent = {each.request.path: each.sent_at for each in world.callers.seen}
    found = []
    for span in world.left:
        bound = span.began + LEAVING_SECONDS + MARGIN_SECONDS
        if span.what == "listed":
            bound += LONGEST_FAULT_SECONDS
        found += [
            f"leaving: {span} got {start}"
            for start in judged.starts
            if start.upstream == span.target
            and bound < sent.get(start.path, 0.0)
            and start.at < span.ended
        ]
    return found


def stops(world: World) -> list[str]:
    """A planned stop cuts off nobody and refuses no live look-up."""
    stopped = [each for each in world.spans if each.what == "stop-host"]
    others = [
        each
        for each in world.spans
        if each.what in ("kill-host", "freeze-host")
    ]
    found = []
    for attempt in world.callers.seen:
        if attempt.status or attempt.sent_at > attempt.named_until:
            continue
        if any(overlaps(attempt, span, 0.5) for span in others):
            continue
        if any(overlaps(attempt, span, 0.0) for span in stopped):
            found.append(f"cut off: {_judge.describe(attempt)}")
    return found


def overlaps(attempt: _callers.Attempt, span: Span, margin: float) -> bool:
    """Returns whether an attempt met a span at its host."""
    return (
        attempt.host == span.target
        and attempt.sent_at < span.ended + margin
        and attempt.ended_at > span.began - margin
    )


def configuration(world: World) -> list[str]:
    """An accepted declaration is in force and never reverts.

    A host that is cut off for the whole bound may serve the old one for as
    long as no host can know better: the longest fault is added.
    """
    unknown = int(_common_code("UNKNOWN_ROUTE"))
    found = []
    known_at: dict[tuple[str, str], float] = {}
    for probe in sorted(world.probes, key=lambda each: each.ended_at):
        epoch = next(e for e in world.epochs if e.path == probe.path)
        key = (probe.host, probe.path)
        bound = epoch.accepted_at + CONFIG_SECONDS + LONGEST_FAULT_SECONDS
        if probe.code == unknown:
            if epoch.accepted_at and probe.sent_at > bound:
                found.append(f"configuration not in force: {probe}")
            if probe.sent_at > known_at.get(key, float("inf")):
                found.append(f"configuration reverted: {probe}")
        elif probe.status == 200:
            known_at.setdefault(key, probe.ended_at)
            if not epoch.accepted_at and _lost(world, epoch):
                found.append(f"configuration of the loser: {probe}")
    return found


def _lost(world: World, epoch: _operators.Epoch) -> bool:
    """Returns whether the other operator of a race won."""
    rival = epoch.path[:-1] + ("b" if epoch.path.endswith("a") else "a")
    return any(e.path == rival and e.accepted_at for e in world.epochs)


def _common_code(name: str) -> Any:
    """Returns a result code by its name."""
    from gooseberryweir import codes

    return codes.Code[name]
