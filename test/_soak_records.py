"""What a soak of host processes records, and what its rules conclude.

All times are monotonic seconds of the test's process.
"""

import collections
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

# Kinds of spans. The target of the first group is a host.
STOP = "stop"  # SIGTERM until the exit.
STOP_AGAIN = "stop-again"  # A further SIGTERM of a host that stops.
RELOAD = "reload"  # SIGHUP.
KILL = "kill"  # SIGKILL until the host is ready again.
FREEZE = "freeze"  # SIGSTOP until SIGCONT.
START = "start"  # Start until the host is ready.
STARVED = "starved"  # It waited for a processor of the machine of the test.
# The target is a pattern of links, `SOURCE>LINK`, as the fault proxy's.
LINK = "link"  # The detail names the rule; resets and cuts are among them.
# The target is a host, or `*` for all.
STORE = "store"  # The detail names the fault.
# The target is an upstream.
DRAIN = "drain"  # Acknowledged `draining` or removal until it serves again.
UPSTREAM = "upstream"  # Crash, replacement, lateness; the detail names it.
# The target is an availability zone.
EVACUATE = "evacuate"  # Acknowledged evacuation until it is taken back.
# The target is an API key or a version.
REVOKE = "revoke"  # Acknowledged withdrawal until the end or its return.
CONFIGURE = "configure"  # Sending until the acknowledgement.

# Values of `Attempt.end`.
ANSWER = "answer"
RESET = "reset"
END = "end"
TIMEOUT = "timeout"
LEFT = "left"

# Values of `Run.outcome`.
ANSWERED = "answered"
BROKEN = "broken"
CANCELLED = "cancelled"


class Span(NamedTuple):
    """An event that was performed.

    Attributes:
        kind: One of the kinds above.
        target: What it was done to.
        started_at: Time of its beginning.
        ended_at: Time of its end; the beginning for an instant.
        detail: What was done, for people.
    """

    kind: str
    target: str
    started_at: float
    ended_at: float
    detail: str = ""


class Attempt(NamedTuple):
    """One request that a caller sent.

    Attributes:
        request_id: Value of its Request-Id.
        host: Name of the host that it was sent to.
        connection: Number of the connection.
        position: Number of the requests before it on the connection.
        idempotent: Whether it may run more than once.
        path: Path of the request.
        key: API key, or empty.
        sent_at: Time at which its last byte was sent.
        ended_at: Time at which its answer was complete or the connection ended.
        status: HTTP status of its complete answer, 0 without one.
        server_stamp: Server-Stamp of the answer, or empty.
        body_ok: Whether a 2xx is the upstream's whole answer to this request.
        end: How it ended: `answer`, `reset`, `end`, `timeout` or `left`.
        left_at: Time at which the caller closed the connection, or None.
        deadline_seconds: Value of its Deadline-Ms, in seconds.
        kind: Kind of the caller.
    """

    request_id: str
    host: str
    connection: int
    position: int
    idempotent: bool
    path: str
    key: str
    sent_at: float
    ended_at: float
    status: int
    server_stamp: str
    body_ok: bool
    end: str
    left_at: float | None
    deadline_seconds: float
    kind: str = ""


class Run(NamedTuple):
    """A request that an upstream began to process.

    Attributes:
        request_id: Value of its Request-Id, or empty.
        upstream: Name of the upstream's instance.
        service: Service of the upstream.
        at: Time of the beginning.
        ended_at: Time of the end, or None.
        outcome: `answered` (the answer was written whole), `broken` (the
            upstream broke it off), `cancelled` (the host closed the
            connection first), or empty while it runs.
        key_seen: Whether the host passed an API key on.
        deadline_seconds: Value of Deadline-Ms that it received, or None.
        zone: Availability zone of the upstream, or empty.
    """

    request_id: str
    upstream: str
    service: str
    at: float
    ended_at: float | None
    outcome: str
    key_seen: bool
    deadline_seconds: float | None = None
    zone: str = ""


class Process(NamedTuple):
    """One process of a host.

    Attributes:
        host: Name of the host.
        pid: Process id.
        started_at: Time of its start.
        ended_at: Time of its end, or None while it runs.
        exit_code: Exit code, negative for a signal, or None.
        root: Directory with the package that it runs.
    """

    host: str
    pid: int
    started_at: float
    ended_at: float | None
    exit_code: int | None
    root: str


class Sample(NamedTuple):
    """What a process of a host used at a time.

    Attributes:
        host: Name of the host.
        pid: Process id.
        at: Time of the sample.
        memory_kb: Resident memory in KiB.
        descriptors: Number of open descriptors.
    """

    host: str
    pid: int
    at: float
    memory_kb: int
    descriptors: int


class Probe(NamedTuple):
    """A readiness check and a look-up at a host.

    Attributes:
        host: Name of the host.
        at: Time of the probe.
        ready: Whether the readiness check succeeded.
        listed: Addresses in the answer to the look-up; empty without one.
    """

    host: str
    at: float
    ready: bool
    listed: tuple[str, ...]


class Configuration(NamedTuple):
    """A configuration that the operator wrote.

    Attributes:
        version: Number of the version.
        document: The whole configuration.
        sent_at: Time of its sending.
        acknowledged_at: Time of the store's answer, or None without one.
    """

    version: int
    document: dict[str, Any]
    sent_at: float
    acknowledged_at: float | None


class Bounds(NamedTuple):
    """Bounds of the rules, those of the settings files of the hosts.

    Attributes:
        grace: Seconds from SIGTERM to SIGKILL.
        key_revocation: Seconds from the withdrawal of a key until no request
            with it is run.
        drain: Seconds from the draining of an upstream until it gets no
            requests.
        evacuation: The same for an availability zone.
        stable_window: Seconds after a disruption until bounds hold again.
        config_apply: Seconds until a configuration is in force.
        rollback_slack: Seconds after which no older one is in force again.
        loss_slack: Seconds after which a request counts as read.
        budget_window: Sliding window in which retries are counted, in seconds.
        budget_ratio: Retries allowed per request of a service.
        budget_margin: Further retries allowed per window, over all hosts.
        memory_mb: Resident memory of a host, in MiB.
        descriptors: Open descriptors of a host.
    """

    grace: float
    key_revocation: float
    drain: float
    evacuation: float = 5.0
    stable_window: float = 4.0
    config_apply: float = 2.5
    rollback_slack: float = 0.25
    loss_slack: float = 0.2
    budget_window: float = 10.0
    budget_ratio: float = 0.2
    budget_margin: float = 58.0
    memory_mb: float = 300.0
    descriptors: int = 4100


class Records(NamedTuple):
    """Everything that callers, upstreams and the driver saw in a soak.

    Attributes:
        started_at: Time at which callers began.
        ended_at: Time at which callers ended.
        spans: Performed events.
        attempts: Requests of all callers.
        runs: Runs at all upstreams.
        processes: Processes of all hosts.
        samples: Samples of all processes.
        configurations: Configurations in the order of their sending.
        bounds: Bounds of the rules.
        probes: Readiness checks and look-ups, in the order of their times.
    """

    started_at: float
    ended_at: float
    spans: list[Span]
    attempts: list[Attempt]
    runs: list[Run]
    processes: list[Process]
    samples: list[Sample]
    configurations: list[Configuration]
    bounds: Bounds
    probes: Sequence[Probe] = ()


class Violation(NamedTuple):
    """A broken rule.

    Attributes:
        rule: Name of the rule.
        request_id: Id of the request, or empty.
        host: Name of the host, or empty.
        at: Time of the violation.
        text: What was seen.
    """

    rule: str
    request_id: str
    host: str
    at: float
    text: str


class Verdict(NamedTuple):
    """What the rules found.

    Attributes:
        violations: Broken rules.
        excused: Number of cases that the pages excuse, by rule and reason.
    """

    violations: list[Violation]
    excused: collections.Counter[str]
