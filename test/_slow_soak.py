"""Slow-reading, pipelining callers over planned stops, drawn from a seed."""

import concurrent.futures
import contextlib
import itertools
import random
import signal
import threading
import time
from typing import NamedTuple

from gooseberryweir import front
from test import _common
from test import _front
from test import _slow_caller

UPSTREAMS = 3
# Median and limit of the sizes of most answers, in bytes.
MEDIAN_BYTES = 5_000
LIMIT_BYTES = 30_000
LARGE_BYTES = 300_000
LARGE_SHARE = 0.03
LONG_SHARE = 0.05
REQUESTS_PER_CONNECTION = 60
# A window each trip of 8 or 43 ms.
PACES = {
    "fast": _slow_caller.Pace(65536, 0.0, 262144, 0.01, 0.05),
    "8 ms": _slow_caller.Pace(8192, 0.008, 8192, 0.016, 0.1),
    "43 ms": _slow_caller.Pace(8192, 0.043, 4096, 0.086, 0.25),
}
CALLERS_PER_PACE = 7
UNREAD_CALLERS = 3
# Pause after a connection that could not be opened.
RETRY_SECONDS = 0.05
# Time before the end of the grace period from which a cut counts as its bound.
BOUND_MARGIN_SECONDS = front.SHUTDOWN_MARGIN_SECONDS + 0.1
# A host that does not end is killed after this time, and that is reported.
EXIT_TIMEOUT_SECONDS = 2 * _front.GRACE_SECONDS


class Stop(NamedTuple):
    """A planned stop.

    Attributes:
        address: Address of the host for callers.
        started_at: Monotonic time of SIGTERM, seconds.
        seconds: Time to the exit.
        exit_code: Exit code; negative if it was killed.
    """

    address: str
    started_at: float
    seconds: float
    exit_code: int


class SoakResult(NamedTuple):
    """What a seed showed.

    Attributes:
        violations: Violated conditions, as text.
        late_stops: Planned stops that outlasted the grace period.
        counts: Numbers of records by kind.
    """

    violations: list[str]
    late_stops: list[Stop]
    counts: dict[str, float]


class Soak:
    """Callers of several paces and the planned work on their hosts.

    Attributes:
        system: The running hosts and upstreams.
        seed: Seed of all random choices.
        connections: Connections that have ended.
        stops: Planned stops that have ended.
        over: Set once callers send no more.
    """

    def __init__(self, system, seed):
        self.system = system
        self.seed = seed
        self.connections = []
        self.stops = []
        self.over = threading.Event()

    def requests(self, rng, caller):
        """Yields requests of one caller with different ids."""
        for number in itertools.count():
            size = min(
                LIMIT_BYTES, int(rng.lognormvariate(0, 1) * MEDIAN_BYTES)
            )
            if rng.random() < LARGE_SHARE:
                size = LARGE_BYTES
            milliseconds = int(rng.uniform(0, 200))
            if rng.random() < LONG_SHARE:
                milliseconds = int(rng.uniform(1000, 1500))
            if self.over.is_set():
                return
            yield _slow_caller.request(
                milliseconds, size, f"{caller}-{number}-{size}"
            )

    def call(self, number, pace):
        """Opens one connection after another until the soak is over."""
        rng = random.Random(f"{self.seed}-{number}")
        requests = self.requests(rng, f"c{number}")
        while not self.over.is_set():
            first = list(itertools.islice(requests, rng.randint(1, 3)))
            if not first:
                return
            caller = _slow_caller.SlowCaller(
                rng.choice(self.system.hosts).address,
                first,
                pace,
                itertools.islice(requests, REQUESTS_PER_CONNECTION),
            )
            caller.run()
            if caller.end == "ConnectionRefusedError":
                time.sleep(RETRY_SECONDS)
            else:
                self.connections.append(caller)

    def stop(self, host):
        """Stops a host as planned and starts it again."""
        started_at = time.monotonic()
        host.process.send_signal(signal.SIGTERM)
        killer = threading.Timer(EXIT_TIMEOUT_SECONDS, host.process.kill)
        killer.start()
        exit_code = host.process.wait()
        seconds = time.monotonic() - started_at
        killer.cancel()
        self.stops.append(Stop(host.address, started_at, seconds, exit_code))
        host.start()

    def work(self, rolling, at_once):
        """Changes the configuration, and stops hosts in turn and at once."""
        rng = random.Random(self.seed)
        hosts = rng.sample(self.system.hosts, rolling + at_once)
        time.sleep(rng.uniform(0.5, 1.0))
        reloading = rng.choice(self.system.hosts)
        reloading.process.send_signal(signal.SIGHUP)
        self.system.store.put("config", "main", _front.configuration(2))
        time.sleep(rng.uniform(0.2, 0.7))
        for host in hosts[:rolling]:
            self.stop(host)
        for host in hosts[:rolling]:
            _common.wait_until(host.ready, description=f"{host.name} ready")
        with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
            list(pool.map(self.stop, hosts[rolling:]))
        for host in hosts:
            _common.wait_until(host.ready, description=f"{host.name} ready")

    def run(self, rolling, at_once):
        """Runs the callers and the planned work."""
        callers = [
            threading.Thread(target=self.call, args=(number, pace))
            for number, pace in enumerate(
                pace for pace in PACES.values() for _ in range(CALLERS_PER_PACE)
            )
        ]
        with contextlib.ExitStack() as stack:
            for number in range(UNREAD_CALLERS):
                host = self.system.hosts[number % len(self.system.hosts)]
                connection = stack.enter_context(
                    _slow_caller.connect(host.address, PACES["43 ms"])
                )
                connection.sendall(
                    _slow_caller.request(0, LARGE_BYTES, f"unread-{number}")
                )
            for caller in callers:
                caller.start()
            try:
                self.work(rolling, at_once)
            finally:
                self.over.set()
                for caller in callers:
                    caller.join()

    def bound_reached(self, caller):
        """Returns True if a connection ended at the end of a grace period."""
        bound = _front.GRACE_SECONDS - BOUND_MARGIN_SECONDS
        return any(
            each.address == caller.address
            and each.started_at + bound
            <= caller.ended_at
            <= each.started_at + max(each.seconds, bound) + 0.1
            for each in self.stops
        )

    def check_connection(self, caller, ran):
        """Checks one connection.

        Args:
            caller: The caller whose connection it was.
            ran: Ids of the requests that ran.

        Returns:
            The violations as text, and the number of answers cut at the bound.
        """
        violations = []
        bound_cuts = 0
        answers = caller.whole_answers
        wanted = caller.sent_ids
        for answer, request_id in zip(answers, wanted, strict=False):
            size = int(request_id.rpartition("-")[2])
            if answer.status == 200 and (
                (answer.request_id, answer.size) != (request_id, size)
            ):
                violations.append(f"not the answer to {request_id}: {answer}")
        for request_id in wanted[len(answers) :]:
            if request_id not in ran:
                continue
            if self.bound_reached(caller):
                bound_cuts += 1
                continue
            violations.append(
                f"no complete answer: {request_id} of {caller.address}"
                f" buffer={caller.pace.buffer_bytes} end={caller.end}"
                f" {self.since_stop(caller)}"
                f" rest={len(caller.received) - caller.parsed}"
            )
        return violations, bound_cuts

    def since_stop(self, caller):
        """Returns the times from stops of its host to a connection's end."""
        return [
            f"{caller.ended_at - each.started_at:.2f} s after SIGTERM"
            for each in self.stops
            if each.address == caller.address
        ]

    def result(self):
        """Checks what callers and upstreams recorded."""
        ran = {run.request_id for run in self.system.runs()}
        violations = []
        bound_cuts = 0
        for caller in self.connections:
            found, cuts = self.check_connection(caller, ran)
            violations += found
            bound_cuts += cuts
        violations += [
            f"stop: {each}" for each in self.stops if each.exit_code != 0
        ]
        answers = [
            answer for each in self.connections for answer in each.whole_answers
        ]
        return SoakResult(
            violations,
            [
                each
                for each in self.stops
                if each.seconds > _front.GRACE_SECONDS
            ],
            {
                "connections": len(self.connections),
                "sent": sum(len(each.sent_ids) for each in self.connections),
                "ran": len(ran),
                "answered": len(answers),
                "status_200": sum(each.status == 200 for each in answers),
                "large": sum(each.size == LARGE_BYTES for each in answers),
                "resets": sum(
                    each.end not in ("end", "whole")
                    for each in self.connections
                ),
                "bound_cuts": bound_cuts,
                "undelivered_lines": sum(
                    len(host.log_lines("event=answer-undelivered"))
                    for host in self.system.hosts
                ),
                "stops": len(self.stops),
                "longest_stop": round(
                    max(each.seconds for each in self.stops), 2
                ),
            },
        )


def run(seed, hosts=6, rolling=2, at_once=3, root=_common.ROOT):
    """Runs a seed; what ran has a complete answer.

    Unless the caller never reads, or the grace period was over.

    Args:
        seed: Seed of all random choices.
        hosts: Number of hosts.
        rolling: Number of hosts that stop one after another.
        at_once: Number of hosts that then stop at once.
        root: Directory with the package that the hosts run.
    """
    with contextlib.ExitStack() as stack:
        system = _front.System(stack, hosts, UPSTREAMS, root=root)
        soak = Soak(system, seed)
        soak.run(rolling, at_once)
        return soak.result()
