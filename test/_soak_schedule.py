"""A random schedule of faults and operations on hosts, drawn from a seed."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

# Time without events at the beginning, and the longest fault.
QUIET_SECONDS = 1.0
MAX_FAULT_SECONDS = 4.0
EVENTS_PER_SECOND = 1.2
# Share of the events that come in groups around one time and host, and the
# greatest time between the events of a group.
GROUPED_SHARE = 0.5
GROUP_SECONDS = 3.5
MAX_GROUP_EVENTS = 4

# Rules of the fault proxy by kind of event, and the pattern of links to which
# they apply. `{}` is the name of a host.
LINK_FAULTS: dict[str, tuple[str, dict[str, Any]]] = {
    "delay-callers": (">front-{}", {"delay_ms": 250}),
    "jitter-callers": (">front-{}", {"delay_ms": 20, "jitter_ms": 400}),
    "trickle-to-callers": (">front-{}", {"bits_per_second": 400_000}),
    "reset-callers": (">front-{}", {"reset": True}),
    "silence-to-callers": (">front-{}", {"blackhole": "in"}),
    "silence-from-callers": (">front-{}", {"blackhole": "out"}),
    "refuse-callers": (">front-{}", {"refuse": True}),
    "delay-upstreams": ("{}>i-*", {"delay_ms": 100, "jitter_ms": 100}),
    "reset-upstreams": ("{}>i-*", {"reset": True}),
    "cut-upstreams": ("{}>i-*", {"cut": True}),
    "silence-to-upstreams": ("{}>i-*", {"blackhole": "out"}),
    "silence-from-upstreams": ("{}>i-*", {"blackhole": "in"}),
    "trickle-upstreams": ("{}>i-*", {"bits_per_second": 2_000_000}),
    "delay-peers": ("*>[pf]*-{}", {"delay_ms": 150, "jitter_ms": 100}),
    "cut-peers": ("*>peer-{}", {"cut": True}),
    "silence-peers": ("{}>peer-*", {"blackhole": "out"}),
    "silence-answers-of-peers": ("{}>forward-*", {"blackhole": "in"}),
    "reset-forwards": ("{}>forward-*", {"reset": True}),
    "delay-store": ("*>store-{}", {"delay_ms": 400}),
    "cut-store": ("*>store-{}", {"cut": True}),
    "reset-store": ("*>store-{}", {"reset": True}),
    "silence-store": ("*>store-{}", {"blackhole": "in"}),
}
# Switches of the store's stand-in by kind of event.
STORE_FAULTS: dict[str, dict[str, Any]] = {
    "store-silent": {"outage": "hang"},
    "store-busy": {"outage": "busy"},
    "store-refusing": {"outage": "refuse"},
    "store-rejecting": {"outage": "many"},
    "store-slow": {"delay_ms": 500},
    "store-watches-late": {"watch_late_ms": 700, "watch_twice": True},
    "store-watches-shuffled": {"watch_shuffled": True},
    "store-loses-answers": {"lose_answers": 3},
}
# Weights of the kinds of events by what they are done to.
HOST_WEIGHTS = {
    "stop": 8.0,
    "stop-several": 2.0,
    "stop-again": 3.0,
    "upgrade": 2.0,
    "reload": 3.0,
    "reload-broken": 1.0,
    "reload-half": 1.0,
    "kill": 2.0,
    "freeze": 3.0,
    "crowd-idle": 1.0,
    "crowd-uploads": 1.0,
    **dict.fromkeys(LINK_FAULTS, 0.7),
    "delay-callers": 2.0,
    "jitter-callers": 2.0,
}
STORE_WEIGHTS = {
    **dict.fromkeys(STORE_FAULTS, 0.4),
    "store-return": 0.4,
    "odd-entry": 1.0,
}
OPERATOR_WEIGHTS = {"configure": 4.0, "revoke": 3.0, "evacuate": 1.0}
UPSTREAM_WEIGHTS = {
    "drain": 2.0,
    "crash": 1.0,
    "replace": 1.0,
    "lag": 1.0,
    "reuse": 1.0,
}
# Kinds that are drawn apart from the others, so that older seeds keep their
# schedules: upstreams and callers that send bytes without end, and upstreams
# that name a limit on requests.
LATER_HOST_WEIGHTS = {"endless-answers": 1.0, "tiny-chunks": 1.0}
LATER_UPSTREAM_WEIGHTS = {"limit": 1.0}
LATER_EVENTS_PER_SECOND = 0.2
# Share of the schedules that have no unplanned faults of hosts and links, which
# would excuse lost answers. Delays of less than half a second excuse nothing.
PLANNED_SHARE = 0.5
UNPLANNED_KINDS = {
    "kill",
    "freeze",
    "crowd-idle",
    "crowd-uploads",
    *LINK_FAULTS,
} - {"delay-callers", "jitter-callers", "delay-upstreams", "delay-peers"}
KINDS = sorted(
    [
        *HOST_WEIGHTS,
        *STORE_WEIGHTS,
        *OPERATOR_WEIGHTS,
        *UPSTREAM_WEIGHTS,
        *LATER_HOST_WEIGHTS,
        *LATER_UPSTREAM_WEIGHTS,
    ]
)
ALL_HOSTS = "*"
# Share of the store's faults that meet all hosts.
ALL_HOSTS_SHARE = 0.5


class Event(NamedTuple):
    """One event of a schedule.

    Attributes:
        at: Time from the start of the schedule, seconds.
        kind: Kind of fault or operation, of `KINDS`.
        target: Name of a host or upstream, `*` for all hosts, or empty.
        seconds: Duration of a fault.
    """

    at: float
    kind: str
    target: str
    seconds: float


def draw_schedule(
    seed: int,
    hosts: list[str],
    upstreams: list[str],
    seconds: float,
    only: str = "",
) -> list[Event]:
    """Draws a schedule from a seed.

    Args:
        seed: Seed of all random choices.
        hosts: Names of hosts.
        upstreams: Names of upstreams.
        seconds: Duration of the schedule, seconds.
        only: The only kind of event, or empty for all.

    Returns:
        Events in the order of their times.
    """
    rng = random.Random(f"schedule-{seed}")
    weights = {
        **HOST_WEIGHTS,
        **STORE_WEIGHTS,
        **OPERATOR_WEIGHTS,
        **UPSTREAM_WEIGHTS,
    }
    if rng.random() < PLANNED_SHARE:
        weights = {
            kind: weight
            for kind, weight in weights.items()
            if kind not in UNPLANNED_KINDS
        }
    if only:
        weights = {only: 1.0}

    def draw_event(at: float, host: str) -> Event:
        kind = rng.choices(list(weights), list(weights.values()))[0]
        target = ""
        if kind in HOST_WEIGHTS or kind in LATER_HOST_WEIGHTS:
            target = host
        elif kind in STORE_WEIGHTS:
            target = ALL_HOSTS if rng.random() < ALL_HOSTS_SHARE else host
        elif kind in UPSTREAM_WEIGHTS or kind in LATER_UPSTREAM_WEIGHTS:
            target = rng.choice(upstreams)
        return Event(at, kind, target, rng.uniform(0.2, MAX_FAULT_SECONDS))

    events: list[Event] = []
    while len(events) < EVENTS_PER_SECOND * seconds:
        at = rng.uniform(QUIET_SECONDS, seconds)
        host = rng.choice(hosts)
        count = 1
        if rng.random() < GROUPED_SHARE:
            count = rng.randint(2, MAX_GROUP_EVENTS)
        events += [
            draw_event(at + rng.uniform(0, GROUP_SECONDS) * (count > 1), host)
            for _ in range(count)
        ]
    if not only:
        events += draw_later_events(seed, hosts, upstreams, seconds)
    return sorted(events)


def draw_later_events(
    seed: int, hosts: list[str], upstreams: list[str], seconds: float
) -> list[Event]:
    """Draws events of the kinds that were added later."""
    rng = random.Random(f"later-{seed}")
    weights = {**LATER_HOST_WEIGHTS, **LATER_UPSTREAM_WEIGHTS}
    events = []
    for _ in range(round(LATER_EVENTS_PER_SECOND * seconds)):
        kind = rng.choices(list(weights), list(weights.values()))[0]
        targets = hosts if kind in LATER_HOST_WEIGHTS else upstreams
        events.append(
            Event(
                rng.uniform(QUIET_SECONDS, seconds),
                kind,
                rng.choice(targets),
                rng.uniform(0.2, MAX_FAULT_SECONDS),
            )
        )
    return events


def shrink(
    events: list[Event], fails: Callable[[list[Event]], bool]
) -> list[Event]:
    """Drops events while the schedule still fails.

    Args:
        events: A schedule that fails.
        fails: Runs a schedule and returns True if it fails.

    Returns:
        A schedule that fails, from which no part that was tried can be dropped.
    """
    size = len(events) // 2
    while size:
        start = 0
        while start < len(events):
            rest = events[:start] + events[start + size :]
            if fails(rest):
                events = rest
            else:
                start += size
        size //= 2
    return events
