"""Conditions on what was done to a deployment, and what was seen after it.

The users' bounds are times. Each is checked with `_world.MARGIN_SECONDS` more
for a busy machine, and where a pause that was injected can delay the matter
itself, with the length of that too; each check says so.
"""

from gooseberryweir import codes
from test import _callers
from test import _judge
from test import _operators
from test import _world

# Faults in which the platform doesn't tell of a change, or not all hosts.
SILENCING = frozenset(
    ("refuse", "hang", "slow", "watches", "lag", "stale")
    + ("cut-platform", "cut-regions", "blackhole-regions")
)
KEY_SECONDS = 5.0
CONFIG_SECONDS = 9.0


def judge(world: _world.World, judged: _judge.Judge) -> list[str]:
    """Checks all conditions; returns the violations."""
    return [
        *judged.common(),
        *keys(world, judged),
        *leaving(world, judged),
        *stops(world),
        *configuration(world),
    ]


def keys(world: _world.World, judged: _judge.Judge) -> list[str]:
    """A withdrawn key stops working within seconds."""
    found = []
    for attempt in world.callers.seen:
        withdrawn_at = world.withdrawn.get(attempt.request.key)
        if withdrawn_at is None:
            continue
        late = attempt.sent_at - withdrawn_at
        runs = judged.by_path[attempt.request.path]
        if late > KEY_SECONDS + _world.MARGIN_SECONDS and runs:
            found.append(f"withdrawn {late:.1f} s: {_judge.describe(attempt)}")
    return found


def leaving(world: _world.World, judged: _judge.Judge) -> list[str]:
    """A leaving upstream gets no new work after a few seconds.

    What was sent before may be held by an injected pause, so only requests
    that callers sent after the bound count.
    """
    latest_first = sorted(world.callers.seen, key=lambda each: -each.sent_at)
    sent = {each.request.path: each.sent_at for each in latest_first}
    found = []
    for span in world.left:
        bound = span.began + _world.LEAVING_SECONDS + _world.MARGIN_SECONDS
        if span.what == "listed":
            bound += trouble(world, span.began, span.ended)
        found += [
            f"leaving: {span} got {start}"
            for start in judged.starts
            if start.upstream == span.target
            and bound < sent.get(start.path, 0.0)
            and start.at < span.ended
        ]
    return found


def stops(world: _world.World) -> list[str]:
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


def overlaps(
    attempt: _callers.Attempt, span: _world.Span, margin: float
) -> bool:
    """Returns whether an attempt met a span at its host."""
    return (
        attempt.host == span.target
        and attempt.sent_at < span.ended + margin
        and attempt.ended_at > span.began - margin
    )


def trouble(world: _world.World, began: float, ended: float) -> float:
    """Returns for how long hosts could not learn of a change in this time.

    No host can know a change that the platform doesn't tell, or that was told
    on the other side of a cut through the fleet. A single host that is cut
    off finds out itself and refuses, so that is no excuse.
    """
    return sum(
        max(0.0, min(span.ended, ended) - max(span.began, began))
        for span in world.spans
        if span.what in SILENCING
    )


def configuration(world: _world.World) -> list[str]:
    """An accepted declaration is in force and never reverts.

    The bound is longer by the time in which hosts could not learn of it.
    """
    found = []
    known_at: dict[tuple[str, str], float] = {}
    for probe in sorted(world.probes, key=lambda each: each.ended_at):
        epoch = next(e for e in world.epochs if e.path == probe.path)
        key = (probe.host, probe.path)
        bound = epoch.accepted_at + CONFIG_SECONDS + _world.MARGIN_SECONDS
        bound += trouble(world, epoch.accepted_at, probe.sent_at)
        if probe.code == codes.Code.UNKNOWN_ROUTE:
            if epoch.accepted_at and probe.sent_at > bound:
                found.append(f"configuration not in force: {probe}")
            if probe.sent_at > known_at.get(key, float("inf")):
                found.append(f"configuration reverted: {probe}")
        elif probe.status == 200:
            known_at.setdefault(key, probe.ended_at)
            if not epoch.accepted_at and _lost(world, epoch):
                found.append(f"configuration of the loser: {probe}")
    return found


def _lost(world: _world.World, epoch: _operators.ApplyAttempt) -> bool:
    """Returns whether the other operator of a race won."""
    rival = epoch.path[:-1] + ("b" if epoch.path.endswith("a") else "a")
    return any(e.path == rival and e.accepted_at for e in world.epochs)
