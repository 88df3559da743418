"""A random schedule of faults and operations, drawn from a seed."""

from collections.abc import Callable
import random
import threading
import time
from typing import Any
from typing import NamedTuple

from test import _callers
from test import _common
from test import _deployments
from test import _fleet
from test import _invariants
from test import _operation_checks
from test import _schedule_runner

# Rate (requests per second) and burst; "ada" sends five times its rate.
ACCOUNTS = {"ada": (8.0, 4), "ben": (40.0, 20), "cid": (20.0, 10)}
TRAFFIC = [
    _callers.Traffic("ada", 40.0, 0.2),
    _callers.Traffic("ben", 22.0),
    _callers.Traffic("cid", 8.0, 0.6),
]
# Limit on the requests that hosts of one region send to upstreams of another:
# rate (requests per second) and burst.
SHIFT_CAP = (4.0, 4)
LOOK_UP_TTL_SECONDS = 3.0
MAX_FAULT_SECONDS = 4.0


def draw_schedule(
    seed: int,
    hosts: list[str],
    upstreams: list[str],
    seconds: float,
    returns: int = 0,
) -> list[_schedule_runner.Event]:
    """Draws a schedule from a seed.

    Args:
        seed: Seed of all random choices.
        hosts: Names of hosts.
        upstreams: Names of upstreams.
        seconds: Duration of the schedule, seconds.
        returns: Number of returns of the platform from an older copy; the
            other events do not depend on it.

    Returns:
        Events in the order of their times.
    """
    rng = random.Random(seed)
    regions = list(_deployments.REGIONS)
    targets_by_kind = {
        "kill-host": hosts,
        "freeze-host": hosts,
        "stop-host": hosts,
        "cut-host": hosts,
        "kill-upstream": upstreams,
        "freeze-upstream": upstreams,
        "leave-upstream": upstreams,
        "leave-in-platform-list": upstreams,
        "blackhole-regions": regions,
        "cut-regions": regions,
        "cut-platform": regions,
        "refuse-calls": ["platform"],
        "hang-calls": ["platform"],
        "slow-calls": ["platform"],
        "unreliable-watches": ["platform"],
        "lose-answers": ["platform"],
        "lag-lists": ["platform"],
        "stale-reads": ["platform"],
    }
    operation_kinds = ["race", "race", "withdraw", "withdraw", "drain"]
    fault_kinds = rng.sample(sorted(targets_by_kind), 9) + [
        "stop-host",
        "leave-upstream",
    ]
    events = [
        _schedule_runner.Event(
            rng.uniform(0.5, seconds),
            kind,
            rng.choice(targets_by_kind.get(kind, upstreams)),
            rng.uniform(1.0, MAX_FAULT_SECONDS),
        )
        for kind in operation_kinds + fault_kinds
    ] + [
        _schedule_runner.Event(
            rng.uniform(0.5, seconds),
            "return-from-copy",
            "platform",
            rng.uniform(1.0, MAX_FAULT_SECONDS),
        )
        for _ in range(returns)
    ]
    return sorted(events)


class ScheduleResult(NamedTuple):
    """Result of the schedule of one seed.

    Attributes:
        violations: Violated conditions and failed events, as text.
        counts: Numbers of records by kind, from `count_records`.
        spans: Performed events and their times.
        directory: Directory of the logs; removed unless KEEP_TEST_LOGS is
            set.
    """

    violations: list[str]
    counts: dict[str, int]
    spans: list[_schedule_runner.Span]
    directory: str


def run(
    seed: int, seconds: float = 12.0, hosts: int = 6, returns: int = 0
) -> ScheduleResult:
    """Runs the schedule of a seed, then checks what clients and upstreams saw.

    The conditions are those of `_invariants` and `_operation_checks`.

    Args:
        seed: Seed of the schedule and of the upstreams' work times.
        seconds: Duration of the schedule, seconds.
        hosts: Number of hosts.
        returns: Number of returns of the platform from an older copy.
    """
    document = _deployments.declarations(ACCOUNTS, SHIFT_CAP)
    upstreams = _fleet.place_upstreams(
        _deployments.REGIONS,
        _deployments.SERVICE,
        6,
        3,
        *("--service-ms", 150, "--seed", seed, "--journal"),
    )
    with _common.Deployment(
        _deployments.REGIONS,
        document,
        upstreams,
        hosts=hosts,
        proxied=True,
        settings={"look_up_seconds": LOOK_UP_TTL_SECONDS},
    ) as running:
        _deployments.wait_hosts_listed(running)
        runner = _schedule_runner.ScheduleRunner(running)
        host_names = list(running.host_specs)
        events = draw_schedule(
            seed, host_names, list(running.upstream_specs), seconds, returns
        )
        perform_schedule(runner, events, host_names)
        checker = _invariants.InvariantChecker(
            running, runner.callers.attempts, ACCOUNTS, MAX_FAULT_SECONDS
        )
        return ScheduleResult(
            runner.failures + _operation_checks.check_all(runner, checker),
            count_records(runner, checker),
            runner.spans,
            str(running.directory),
        )


def perform_schedule(
    runner: _schedule_runner.ScheduleRunner,
    events: list[_schedule_runner.Event],
    host_names: list[str],
) -> None:
    """Runs load, probes and events until all events are over.

    Probes request routes that new declarations add, to see which declaration
    each host uses.
    """
    started_at = time.monotonic()
    event_threads = [
        threading.Thread(target=runner.perform, args=(event, started_at))
        for event in events
    ]
    finished = threading.Event()
    load_and_probes: list[Callable[[], Any]] = [
        lambda: runner.callers.run(TRAFFIC, finished.is_set),
        runner.send_with_issued_keys,
        *(lambda name=name: runner.probe(name) for name in host_names),
    ]
    threads = [threading.Thread(target=each) for each in load_and_probes]
    for thread in [*threads, *event_threads]:
        thread.start()
    for event_thread in event_threads:
        event_thread.join()
    # Requests sent after the last event let the checks see whether its effect
    # came in time.
    time.sleep(_schedule_runner.MARGIN_SECONDS)
    finished.set()
    runner.stopped.set()
    for thread in threads:
        thread.join()
    runner.callers.finish()


def count_records(
    runner: _schedule_runner.ScheduleRunner,
    checker: _invariants.InvariantChecker,
) -> dict[str, int]:
    """Counts the records by kind, to show that the checks had data to check.

    "signed" is the number of different tickets among the requests that ran; all
    requests without a ticket (the idempotent ones) together add one. "crossing"
    counts the runs outside the region of the sending host, and "faults" all
    performed events. "within-rate-refused" omits "ada", the account over its
    rate.
    """
    attempts = runner.callers.attempts
    return {
        "attempts": len(attempts),
        "answered": sum(each.status == 200 for each in attempts),
        "refused": sum(each.status > 200 for each in attempts),
        "within-rate-refused": sum(
            each.status > 200 and each.request.account != "ada"
            for each in attempts
        ),
        "broken": sum(each.status == 0 for each in attempts),
        "unknown": sum(each.code == 401 for each in attempts),
        "starts": len(checker.starts),
        "signed": len({start.ticket for start in checker.starts}),
        "crossing": sum(map(len, checker.shifted_starts().values())),
        "faults": len(runner.spans),
        "accepted": sum(
            bool(apply_attempt.accepted_at)
            for apply_attempt in runner.apply_attempts
        ),
        "probes": len(runner.probes),
        "withdrawn": len(runner.withdrawn),
        "leaving": len(runner.leaving_spans),
    }
