"""Checks that operations on a deployment take effect in time.

The operations are key withdrawals, departures of upstreams, planned stops of
hosts and applied declarations. Each required time is extended by MARGIN_SECONDS
(of `_schedule_runner`) for a busy machine. Where an injected fault can delay
the effect, the time is also extended by the duration of the fault; each check
says so.
"""

from gooseberryweir import codes
from test import _callers
from test import _invariants
from test import _operators
from test import _schedule_runner

# Kinds of faults that keep changes in the platform from reaching some or all
# hosts.
UPDATE_BLOCKING_FAULTS = frozenset(
    (
        "refuse-calls",
        "hang-calls",
        "slow-calls",
        "unreliable-watches",
        "lag-lists",
        "stale-reads",
    )
    + ("cut-platform", "cut-regions", "blackhole-regions")
)
# Time after the withdrawal of an API key from which requests with it are
# refused.
KEY_WITHDRAWAL_SECONDS = 5.0
# Time after which an accepted declaration is active on every host.
CONFIG_ACTIVE_SECONDS = 9.0


def check_all(
    runner: _schedule_runner.ScheduleRunner,
    checker: _invariants.InvariantChecker,
) -> list[str]:
    """Checks the conditions of this module and those of `_invariants`.

    Returns:
        The violations as text.
    """
    return [
        *checker.check_all(),
        *check_withdrawn_keys(runner, checker),
        *check_leaving_upstreams(runner, checker),
        *check_planned_stops(runner),
        *check_declarations(runner),
    ]


def check_withdrawn_keys(
    runner: _schedule_runner.ScheduleRunner,
    checker: _invariants.InvariantChecker,
) -> list[str]:
    """Checks that no request with a withdrawn key runs.

    Requests sent within KEY_WITHDRAWAL_SECONDS of the withdrawal may run.
    """
    violations = []
    for attempt in runner.callers.attempts:
        withdrawn_at = runner.withdrawn.get(attempt.request.key)
        if withdrawn_at is None:
            continue
        seconds_after = attempt.sent_at - withdrawn_at
        runs = checker.starts_by_path[attempt.request.path]
        if (
            seconds_after
            > KEY_WITHDRAWAL_SECONDS + _schedule_runner.MARGIN_SECONDS
            and runs
        ):
            violations.append(
                f"key withdrawn {seconds_after:.1f} s ago:"
                f" {_invariants.describe(attempt)}"
            )
    return violations


def check_leaving_upstreams(
    runner: _schedule_runner.ScheduleRunner,
    checker: _invariants.InvariantChecker,
) -> list[str]:
    """Checks that a leaving upstream gets no new request after LEAVING_SECONDS.

    An injected pause can delay requests that were sent earlier, so only
    requests that clients sent after that time count. Where the platform lists
    the upstream as leaving, the time is extended by the duration of faults that
    keep the list from hosts.
    """
    newest_first = sorted(
        runner.callers.attempts, key=lambda each: -each.sent_at
    )
    sent_at = {each.request.path: each.sent_at for each in newest_first}
    violations = []
    for span in runner.leaving_spans:
        allowed_until = (
            span.started_at
            + _schedule_runner.LEAVING_SECONDS
            + _schedule_runner.MARGIN_SECONDS
        )
        if span.kind == "listed":
            allowed_until += blocked_seconds(
                runner, span.started_at, span.ended_at
            )
        violations += [
            f"leaving upstream: {span} was sent {start}"
            for start in checker.starts
            if start.upstream == span.target
            and allowed_until < sent_at.get(start.path, 0.0)
            and start.at < span.ended_at
        ]
    return violations


def check_planned_stops(runner: _schedule_runner.ScheduleRunner) -> list[str]:
    """Checks that planned stops cut off no request and refuse no connection.

    A connection must not be refused while the caller's look-up is valid.
    Attempts sent after the look-up expired, or during a kill or freeze of the
    same host, do not count.
    """
    planned_stops = [each for each in runner.spans if each.kind == "stop-host"]
    unplanned_stops = [
        each
        for each in runner.spans
        if each.kind in ("kill-host", "freeze-host")
    ]
    violations = []
    for attempt in runner.callers.attempts:
        if attempt.status or attempt.sent_at > attempt.look_up_expires_at:
            continue
        if any(overlaps(attempt, span, 0.5) for span in unplanned_stops):
            continue
        if any(overlaps(attempt, span, 0.0) for span in planned_stops):
            violations.append(f"cut off: {_invariants.describe(attempt)}")
    return violations


def overlaps(
    attempt: _callers.Attempt, span: _schedule_runner.Span, margin: float
) -> bool:
    """Returns True if an attempt overlaps in time a fault of its host.

    Args:
        attempt: The attempt.
        span: Time of the fault.
        margin: Extension of the fault at both ends, seconds.
    """
    return (
        attempt.host == span.target
        and attempt.sent_at < span.ended_at + margin
        and attempt.ended_at > span.started_at - margin
    )


def blocked_seconds(
    runner: _schedule_runner.ScheduleRunner, started_at: float, ended_at: float
) -> float:
    """Returns for how long faults kept changes from hosts in a period, seconds.

    A host can't know a change that the platform does not report, or that only
    hosts on the other side of a network partition received. The cut of a
    single host does not count: that host detects the cut and refuses requests.
    """
    return sum(
        max(
            0.0, min(span.ended_at, ended_at) - max(span.started_at, started_at)
        )
        for span in runner.spans
        if span.kind in UPDATE_BLOCKING_FAULTS
    )


def check_declarations(runner: _schedule_runner.ScheduleRunner) -> list[str]:
    """Checks that an accepted declaration becomes active and stays active.

    If two operators apply declarations at the same time, the rejected one must
    not become active. The time allowed until the accepted one is active is
    extended by the duration of faults that keep it from hosts.
    """
    violations = []
    served_at: dict[tuple[str, str], float] = {}
    for probe in sorted(runner.probes, key=lambda each: each.ended_at):
        apply_attempt = next(
            e for e in runner.apply_attempts if e.path == probe.path
        )
        key = (probe.host, probe.path)
        allowed_until = (
            apply_attempt.accepted_at
            + CONFIG_ACTIVE_SECONDS
            + _schedule_runner.MARGIN_SECONDS
        )
        allowed_until += blocked_seconds(
            runner, apply_attempt.accepted_at, probe.sent_at
        )
        if probe.code == codes.Code.UNKNOWN_ROUTE:
            if apply_attempt.accepted_at and probe.sent_at > allowed_until:
                violations.append(f"declaration not active in time: {probe}")
            if probe.sent_at > served_at.get(key, float("inf")):
                violations.append(f"declaration reverted: {probe}")
        elif probe.status == 200:
            served_at.setdefault(key, probe.ended_at)
            if not apply_attempt.accepted_at and _lost_race(
                runner, apply_attempt
            ):
                violations.append(f"rejected declaration is active: {probe}")
    return violations


def _lost_race(
    runner: _schedule_runner.ScheduleRunner,
    apply_attempt: _operators.ApplyAttempt,
) -> bool:
    """Returns True if the other operator's declaration was accepted."""
    rival_path = apply_attempt.path[:-1] + (
        "b" if apply_attempt.path.endswith("a") else "a"
    )
    return any(
        e.path == rival_path and e.accepted_at for e in runner.apply_attempts
    )
