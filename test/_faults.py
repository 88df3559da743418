"""A seeded random schedule of faults and operators' acts."""

from collections.abc import Callable
import random
import threading
import time
from typing import Any
from typing import NamedTuple

from test import _callers
from test import _common
from test import _conditions
from test import _declared
from test import _fleet
from test import _judge
from test import _world

# Rate and burst; "ada" sends five times its rate.
ACCOUNTS = {"ada": (8.0, 4), "ben": (40.0, 20), "cid": (20.0, 10)}
TRAFFIC = [
    _callers.Traffic("ada", 40.0, 0.2),
    _callers.Traffic("ben", 22.0),
    _callers.Traffic("cid", 8.0, 0.6),
]
SHIFT_CAP = (4.0, 4)
LOOK_UP_SECONDS = 3.0
LONGEST_FAULT_SECONDS = 4.0


def plan(
    seed: int, hosts: list[str], upstreams: list[str], seconds: float
) -> list[_world.Event]:
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
        "stale": ["platform"],
    }
    always = ["race", "race", "withdraw", "withdraw", "drain"]
    drawn = source.sample(sorted(targets), 9) + ["stop-host", "leave-upstream"]
    events = [
        _world.Event(
            source.uniform(0.5, seconds),
            kind,
            source.choice(targets.get(kind, upstreams)),
            source.uniform(1.0, LONGEST_FAULT_SECONDS),
        )
        for kind in always + drawn
    ]
    return sorted(events)


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
    spans: list[_world.Span]
    directory: str


def run(seed: int, seconds: float = 12.0, hosts: int = 6) -> Verdict:
    """Runs the schedule of a seed and judges it."""
    document = _declared.declarations(ACCOUNTS, SHIFT_CAP)
    upstreams = _fleet.spread(
        _declared.REGIONS,
        _declared.SERVICE,
        6,
        3,
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
        world = _world.World(running)
        names = list(running.host_specs)
        events = plan(seed, names, list(running.upstream_specs), seconds)
        drive(world, events, names)
        judged = _judge.Judge(
            running, world.callers.attempts, ACCOUNTS, LONGEST_FAULT_SECONDS
        )
        return Verdict(
            world.failures + _conditions.judge(world, judged),
            figures(world, judged),
            world.spans,
            str(running.directory),
        )


def drive(
    world: _world.World, events: list[_world.Event], names: list[str]
) -> None:
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
    time.sleep(_world.MARGIN_SECONDS)
    over.set()
    world.stopped.set()
    for thread in threads:
        thread.join()
    world.callers.finish()


def figures(world: _world.World, judged: _judge.Judge) -> dict[str, int]:
    """Counts what was done and seen, to show that the checks had work."""
    seen = world.callers.attempts
    return {
        "attempts": len(seen),
        "answered": sum(each.status == 200 for each in seen),
        "refused": sum(each.status > 200 for each in seen),
        "within-rate-refused": sum(
            each.status > 200 and each.request.account != "ada" for each in seen
        ),
        "broken": sum(each.status == 0 for each in seen),
        "unknown": sum(each.code == 401 for each in seen),
        "starts": len(judged.starts),
        "signed": len({start.ticket for start in judged.starts}),
        "crossing": sum(map(len, judged.crossings().values())),
        "faults": len(world.spans),
        "accepted": sum(bool(epoch.accepted_at) for epoch in world.epochs),
        "probes": len(world.probes),
        "withdrawn": len(world.withdrawn),
        "leaving": len(world.left),
    }
