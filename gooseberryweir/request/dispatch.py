"""Dispatch: runs an admitted request on upstreams.

The rules of repetition are here. A request is sent again by the system only
if it is idempotent and its body is still at hand, or if no byte of it was
sent. Whatever ends a request tells truly whether it may have run.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import logging
import math
from typing import NamedTuple

import eventlet

from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.connection import upstream_http
from gooseberryweir.process import context as contexts
from gooseberryweir.process.shares import slots as slots_module
from gooseberryweir.request import admission
from gooseberryweir.request import incoming
from gooseberryweir.request import routing

LOGGER = logging.getLogger(__name__)
MAX_ATTEMPTS = 3
# Seconds for finding out whether an upstream still accepts connections.
DEATH_CHECK_SECONDS = 0.3
DEATH_CHECK_PAUSE_SECONDS = 0.02
DEATH_CHECKS = 4
# Longest time between spending a token of the rate and running on it.
TOKEN_SECONDS = 0.1
# Longest wait for another token while a slot is held; some round trips.
RENEW_SECONDS = 0.5
ACCOUNT_HEADER = "Gooseberryweir-Account"


class Work(NamedTuple):
    """An admitted request, ready for upstreams.

    Attributes:
        admitted: What admission found.
        method: HTTP method.
        target: Path and query.
        headers: Headers to pass on.
        body: The body: whole, in pieces, or None.
        content_length: Bytes of the body, or None for a chunked body.
        ticket: The ticket, or empty.
        suspect: Fingerprint by which crashes are counted.
        deadline: Monotonic instant after which it is given up.
        repeatable: Whether it may be sent to a second upstream.
    """

    admitted: admission.Admitted
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterable[bytes] | None
    content_length: int | None
    ticket: str
    suspect: str
    deadline: float
    repeatable: bool


class DispatchedAnswer(NamedTuple):
    """The head of an upstream's answer and the pieces of its body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]


class RefusedError(Exception):
    """An attempt ended without an answer.

    Attributes:
        refusal: What to tell the caller.
        again: Whether another upstream may be tried.
    """

    def __init__(self, refusal: codes.Refusal, again: bool) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.again = again


def take_rate(
    context: contexts.Context, admitted: admission.Admitted, deadline: float
) -> None:
    """Takes one token of the client account's rate.

    Raises:
        RefusedError: The account is over its rate, or no home answered.
    """
    if not admitted.account:
        return
    refused = context.shares.take(f"account/{admitted.account}", deadline)
    if refused is not None:
        if refused.over_rate:
            code = codes.Code.RATE_EXCEEDED
            context.metrics.increment(f"rate_refused.{admitted.account}")
        else:
            code = codes.Code.NO_HOME
            context.metrics.increment(f"rate_unknown.{admitted.account}")
        refusal = codes.refuse(code, retry_after=refused.retry_after)
        raise RefusedError(refusal, again=False)


class RateToken:
    """The token of a client account's rate that a request runs on.

    A request may wait for a slot after its token was spent. Were it to run
    on that token however late, waiting requests could start together and
    pass the rate; so a token that is no longer new is spent in vain and the
    request needs another one.
    """

    def __init__(
        self, context: contexts.Context, admitted: admission.Admitted
    ) -> None:
        self.context = context
        self.admitted = admitted
        self.taken_at = -math.inf

    def ensure_new(self, deadline: float) -> None:
        """Takes a token unless the one held is new.

        Raises:
            RefusedError: The account is over its rate, or no home answered.
        """
        now = self.context.clock.monotonic()
        if now - self.taken_at <= TOKEN_SECONDS:
            return
        take_rate(self.context, self.admitted, deadline)
        self.taken_at = self.context.clock.monotonic()


def upstream_headers(
    context: contexts.Context, work: Work, address: str
) -> tuple[tuple[str, str], ...]:
    """Returns the complete headers for an upstream."""
    left = max(0.001, work.deadline - context.clock.monotonic())
    headers = [
        *work.headers,
        ("Host", address),
        (incoming.TIMEOUT_HEADER, f"{left:.3f}"),
    ]
    if work.admitted.account:
        headers.append((ACCOUNT_HEADER, work.admitted.account))
    if work.content_length is not None and (
        work.content_length or work.method in ("POST", "PUT", "PATCH")
    ):
        headers.append(("Content-Length", str(work.content_length)))
    return tuple(headers)


def refuses_connections(address: str) -> bool:
    """Returns whether nothing listens at an upstream's address."""
    host, _, port = address.rpartition(":")
    try:
        with eventlet.Timeout(DEATH_CHECK_SECONDS):
            eventlet.connect((host, int(port))).close()
    except ConnectionRefusedError:
        return True
    except (OSError, eventlet.Timeout):
        return False
    return False


def is_down(context: contexts.Context, address: str) -> bool:
    """Returns whether an upstream has ended.

    A process that ends closes its sockets one by one, so its listener may
    outlive the connection by a moment: a few looks are needed.
    """
    for _ in range(DEATH_CHECKS):
        if refuses_connections(address):
            return True
        context.clock.sleep(DEATH_CHECK_PAUSE_SECONDS)
    return False


def _check(context: contexts.Context, work: Work) -> None:
    """Raises if the request may not be dispatched at this moment."""
    refusal = admission.still_admitted(context, work.admitted)
    if refusal is None and context.clock.monotonic() >= work.deadline:
        refusal = codes.refuse(codes.Code.DEADLINE_PASSED)
    if refusal is not None:
        raise RefusedError(refusal, again=False)


def _check_suspect(context: contexts.Context, work: Work) -> None:
    """Raises if the request has ended too many upstreams."""
    declared = context.tables.declarations
    if declared is None:
        return
    limit = declared.classes[work.admitted.work_class].crash_limit
    if context.suspects.crash_count(work.suspect) >= limit:
        logs.event(
            LOGGER,
            "suspect-refused",
            account=work.admitted.account,
            fingerprint=work.suspect,
        )
        raise RefusedError(codes.refuse(codes.Code.SUSPECT_REQUEST), False)


def _died(
    context: contexts.Context, work: Work, lease: slots_module.Lease
) -> RefusedError:
    """Notes an upstream's death and says whether to try another one."""
    name = lease.upstream.name
    down = is_down(context, lease.upstream.address)
    if down:
        context.suspects.record_crash(work.suspect, name)
        context.shares.upstream_died(lease.upstream)
    logs.event(
        LOGGER,
        "upstream-died",
        logging.WARNING,
        upstream=name,
        down=down,
        fingerprint=work.suspect,
    )
    refusal = codes.refuse(codes.Code.UPSTREAM_DIED)
    return RefusedError(refusal, again=work.repeatable)


@contextlib.contextmanager
def _translate_errors(
    context: contexts.Context, work: Work, lease: slots_module.Lease
) -> Iterator[None]:
    """Turns faults of the connection into the refusals they mean."""
    try:
        yield
    except upstream_http.NotSentError as error:
        logs.event(
            LOGGER,
            "upstream-unreachable",
            logging.WARNING,
            upstream=lease.upstream.name,
        )
        context.shares.upstream_died(lease.upstream)
        refusal = codes.refuse(codes.Code.NO_HEADROOM)
        raise RefusedError(refusal, again=True) from error
    except upstream_http.UpstreamTimeoutError as error:
        refusal = codes.refuse(codes.Code.UPSTREAM_TIMEOUT)
        raise RefusedError(refusal, again=False) from error
    except upstream_http.UpstreamDiedError as error:
        raise _died(context, work, lease) from error


def _request_for(
    context: contexts.Context, work: Work, address: str
) -> upstream_http.UpstreamRequest:
    return upstream_http.UpstreamRequest(
        work.method,
        work.target,
        upstream_headers(context, work, address),
        work.body,
        work.admitted.route.idempotent,
    )


@contextlib.contextmanager
def _attempt(
    context: contexts.Context,
    work: Work,
    lease: slots_module.Lease,
) -> Iterator[DispatchedAnswer]:
    """Sends the request to one upstream and yields its answer.

    Raises:
        RefusedError: There is no answer from this upstream.
    """
    _check(context, work)
    upstream = lease.upstream
    request = _request_for(context, work, upstream.address)
    timeout = work.deadline - context.clock.monotonic()
    late = upstream_http.UpstreamTimeoutError("the deadline passed")
    with (
        _translate_errors(context, work, lease),
        eventlet.Timeout(max(0.001, timeout), late),
        context.upstreams.send(
            upstream.address, upstream.connections, request, timeout
        ) as answer,
    ):
        if answer.shed:
            refusal = codes.refuse(codes.Code.UPSTREAM_SHED)
            raise RefusedError(refusal, again=work.repeatable)
        context.suspects.record_success(work.suspect)
        yield DispatchedAnswer(
            answer.status, answer.headers, upstream_http.read_pieces(answer)
        )


@contextlib.contextmanager
def _paid_attempt(
    context: contexts.Context,
    work: Work,
    token: RateToken,
    lease: slots_module.Lease,
) -> Iterator[DispatchedAnswer]:
    """Sends the request on a token that is new; a slot waits but briefly."""
    now = context.clock.monotonic()
    token.ensure_new(min(work.deadline, now + RENEW_SECONDS))
    with _attempt(context, work, lease) as answer:
        yield answer


@contextlib.contextmanager
def _placed_attempt(
    context: contexts.Context, work: Work, token: RateToken, exclude: set[str]
) -> Iterator[DispatchedAnswer]:
    """Leases a slot and sends the request to its upstream."""
    _check_suspect(context, work)
    with contextlib.ExitStack() as turn:
        left = work.deadline - context.clock.monotonic()
        if not turn.enter_context(
            context.suspects.run_exclusively(work.suspect, left)
        ):
            late = codes.refuse(codes.Code.DEADLINE_PASSED)
            raise RefusedError(late, again=False)
        _check_suspect(context, work)
        lease = routing.place(
            context, work.admitted, frozenset(exclude), work.deadline
        )
        if isinstance(lease, codes.Refusal):
            raise RefusedError(lease, again=False)
        exclude.add(lease.upstream.name)
        with lease, _paid_attempt(context, work, token, lease) as answer:
            turn.close()
            yield answer


def _true_to(sent: bool, refusal: codes.Refusal) -> codes.Refusal:
    """Returns the refusal of a request that an earlier attempt may have run."""
    if sent and refusal.ran is codes.Ran.NO:
        return refusal._replace(ran=codes.Ran.UNKNOWN)
    return refusal


@contextlib.contextmanager
def run(context: contexts.Context, work: Work) -> Iterator[DispatchedAnswer]:
    """Runs a request and yields the answer of the upstream that took it.

    Raises:
        RefusedError: No upstream answered; it says whether the request ran.
    """
    token = RateToken(context, work.admitted)
    token.ensure_new(work.deadline)
    exclude: set[str] = set()
    sent = False
    for attempt in range(1, MAX_ATTEMPTS + 1):
        answered = False
        try:
            with _placed_attempt(context, work, token, exclude) as answer:
                answered = True
                yield answer
                return
        except RefusedError as error:
            sent = sent or error.refusal.ran is not codes.Ran.NO
            if answered or not error.again or attempt == MAX_ATTEMPTS:
                raise RefusedError(
                    _true_to(sent, error.refusal), False
                ) from error
            logs.event(
                LOGGER,
                "request-retried",
                attempt=attempt,
                code=int(error.refusal.code),
                account=work.admitted.account,
            )


def timed(
    context: contexts.Context, admitted: admission.Admitted
) -> Callable[[int], None]:
    """Returns a function to call with the status once the answer is out."""
    began = context.clock.monotonic()

    def finish(status: int) -> None:
        milliseconds = (context.clock.monotonic() - began) * 1000
        work_class = admitted.work_class
        context.metrics.timing(f"latency.{work_class}", milliseconds)
        context.outcomes.answered(admitted.account, milliseconds)
        logs.event(
            LOGGER,
            "request-answered",
            logging.DEBUG,
            account=admitted.account,
            work_class=work_class,
            status=status,
            milliseconds=milliseconds,
        )

    return finish
