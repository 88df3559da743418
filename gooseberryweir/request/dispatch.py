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
DOWN_CHECK_TIMEOUT_SECONDS = 0.3
DOWN_CHECK_INTERVAL_SECONDS = 0.02
DOWN_CHECK_ATTEMPTS = 4
# Longest time between spending a token of the rate and running on it.
TOKEN_MAX_AGE_SECONDS = 0.1
# Longest wait for another token while a slot is held; some round trips.
TOKEN_RENEWAL_TIMEOUT_SECONDS = 0.5
ACCOUNT_HEADER = "Gooseberryweir-Account"


class PreparedRequest(NamedTuple):
    """An admitted request, ready for upstreams.

    Attributes:
        admitted: What admission found.
        method: HTTP method.
        target: Path and query.
        headers: Headers to pass on.
        body: The body: whole, in pieces, or None.
        content_length: Bytes of the body, or None for a chunked body.
        ticket: The ticket, or empty.
        fingerprint: Fingerprint by which crashes are counted.
        deadline: Monotonic instant after which it is given up.
        retryable: Whether it may be sent to a second upstream.
    """

    admitted: admission.AdmittedRequest
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterable[bytes] | None
    content_length: int | None
    ticket: str
    fingerprint: str
    deadline: float
    retryable: bool


class DispatchedAnswer(NamedTuple):
    """The head of an upstream's answer and the pieces of its body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]


class RefusedError(Exception):
    """An attempt ended without an answer.

    Attributes:
        refusal: What to tell the caller.
        retryable: Whether another upstream may be tried.
    """

    def __init__(self, refusal: codes.Refusal, retryable: bool) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.retryable = retryable


def take_rate_token(
    context: contexts.Context,
    admitted: admission.AdmittedRequest,
    deadline: float,
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
        raise RefusedError(refusal, retryable=False)


class RateToken:
    """The token of a client account's rate that a request runs on.

    A request may wait for a slot after its token was spent. Were it to run
    on that token however late, waiting requests could start together and
    pass the rate; so a token that is no longer new is spent in vain and the
    request needs another one.
    """

    def __init__(
        self, context: contexts.Context, admitted: admission.AdmittedRequest
    ) -> None:
        self.context = context
        self.admitted = admitted
        self.taken_at = -math.inf

    def ensure_recent(self, deadline: float) -> None:
        """Takes a token unless the one held is new.

        Raises:
            RefusedError: The account is over its rate, or no home answered.
        """
        now = self.context.clock.monotonic()
        if now - self.taken_at <= TOKEN_MAX_AGE_SECONDS:
            return
        take_rate_token(self.context, self.admitted, deadline)
        self.taken_at = self.context.clock.monotonic()


def upstream_headers(
    context: contexts.Context, prepared: PreparedRequest, address: str
) -> tuple[tuple[str, str], ...]:
    """Returns the complete headers for an upstream."""
    remaining = max(0.001, prepared.deadline - context.clock.monotonic())
    headers = [
        *prepared.headers,
        ("Host", address),
        (incoming.TIMEOUT_HEADER, f"{remaining:.3f}"),
    ]
    if prepared.admitted.account:
        headers.append((ACCOUNT_HEADER, prepared.admitted.account))
    if prepared.content_length is not None and (
        prepared.content_length or prepared.method in ("POST", "PUT", "PATCH")
    ):
        headers.append(("Content-Length", str(prepared.content_length)))
    return tuple(headers)


def refuses_connections(address: str) -> bool:
    """Returns whether nothing listens at an upstream's address."""
    host, _, port = address.rpartition(":")
    try:
        with eventlet.Timeout(DOWN_CHECK_TIMEOUT_SECONDS):
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
    for _ in range(DOWN_CHECK_ATTEMPTS):
        if refuses_connections(address):
            return True
        context.clock.sleep(DOWN_CHECK_INTERVAL_SECONDS)
    return False


def _check_admission(
    context: contexts.Context, prepared: PreparedRequest
) -> None:
    """Raises if the request may not be dispatched at this moment."""
    refusal = admission.recheck(context, prepared.admitted)
    if refusal is None and context.clock.monotonic() >= prepared.deadline:
        refusal = codes.refuse(codes.Code.DEADLINE_PASSED)
    if refusal is not None:
        raise RefusedError(refusal, retryable=False)


def _check_crash_limit(
    context: contexts.Context, prepared: PreparedRequest
) -> None:
    """Raises if the request has ended too many upstreams."""
    declared = context.tables.declarations
    if declared is None:
        return
    limit = declared.classes[prepared.admitted.work_class].crash_limit
    if context.suspects.count(prepared.fingerprint) >= limit:
        logs.event(
            LOGGER,
            "suspect-refused",
            account=prepared.admitted.account,
            fingerprint=prepared.fingerprint,
        )
        raise RefusedError(codes.refuse(codes.Code.SUSPECT_REQUEST), False)


def _handle_upstream_death(
    context: contexts.Context,
    prepared: PreparedRequest,
    lease: slots_module.Lease,
) -> RefusedError:
    """Notes an upstream's death and says whether to try another one."""
    name = lease.upstream.name
    down = is_down(context, lease.upstream.address)
    if down:
        context.suspects.crashed(prepared.fingerprint, name)
        context.shares.upstream_died(lease.upstream)
    logs.event(
        LOGGER,
        "upstream-died",
        logging.WARNING,
        upstream=name,
        down=down,
        fingerprint=prepared.fingerprint,
    )
    refusal = codes.refuse(codes.Code.UPSTREAM_DIED)
    return RefusedError(refusal, retryable=prepared.retryable)


@contextlib.contextmanager
def _translate_errors(
    context: contexts.Context,
    prepared: PreparedRequest,
    lease: slots_module.Lease,
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
        raise RefusedError(refusal, retryable=True) from error
    except upstream_http.UpstreamTimeoutError as error:
        refusal = codes.refuse(codes.Code.UPSTREAM_TIMEOUT)
        raise RefusedError(refusal, retryable=False) from error
    except upstream_http.UpstreamDiedError as error:
        raise _handle_upstream_death(context, prepared, lease) from error


def _build_request(
    context: contexts.Context, prepared: PreparedRequest, address: str
) -> upstream_http.UpstreamRequest:
    return upstream_http.UpstreamRequest(
        prepared.method,
        prepared.target,
        upstream_headers(context, prepared, address),
        prepared.body,
        prepared.admitted.route.idempotent,
    )


@contextlib.contextmanager
def _attempt(
    context: contexts.Context,
    prepared: PreparedRequest,
    lease: slots_module.Lease,
) -> Iterator[DispatchedAnswer]:
    """Sends the request to one upstream and yields its answer.

    Raises:
        RefusedError: There is no answer from this upstream.
    """
    _check_admission(context, prepared)
    upstream = lease.upstream
    request = _build_request(context, prepared, upstream.address)
    timeout = prepared.deadline - context.clock.monotonic()
    timeout_error = upstream_http.UpstreamTimeoutError("the deadline passed")
    with (
        _translate_errors(context, prepared, lease),
        eventlet.Timeout(max(0.001, timeout), timeout_error),
        context.upstreams.send(
            upstream.address, upstream.connections, request, timeout
        ) as answer,
    ):
        if answer.shed:
            refusal = codes.refuse(codes.Code.UPSTREAM_SHED)
            raise RefusedError(refusal, retryable=prepared.retryable)
        context.suspects.succeeded(prepared.fingerprint)
        yield DispatchedAnswer(
            answer.status, answer.headers, upstream_http.read_pieces(answer)
        )


@contextlib.contextmanager
def _attempt_with_token(
    context: contexts.Context,
    prepared: PreparedRequest,
    token: RateToken,
    lease: slots_module.Lease,
) -> Iterator[DispatchedAnswer]:
    """Sends the request on a token that is new; a slot waits but briefly."""
    now = context.clock.monotonic()
    token.ensure_recent(
        min(prepared.deadline, now + TOKEN_RENEWAL_TIMEOUT_SECONDS)
    )
    with _attempt(context, prepared, lease) as answer:
        yield answer


@contextlib.contextmanager
def _attempt_with_slot(
    context: contexts.Context,
    prepared: PreparedRequest,
    token: RateToken,
    exclude: set[str],
) -> Iterator[DispatchedAnswer]:
    """Leases a slot and sends the request to its upstream."""
    _check_crash_limit(context, prepared)
    with contextlib.ExitStack() as permit:
        remaining = prepared.deadline - context.clock.monotonic()
        if not permit.enter_context(
            context.suspects.turn(prepared.fingerprint, remaining)
        ):
            refusal = codes.refuse(codes.Code.DEADLINE_PASSED)
            raise RefusedError(refusal, retryable=False)
        _check_crash_limit(context, prepared)
        lease = routing.lease_slot(
            context, prepared.admitted, frozenset(exclude), prepared.deadline
        )
        if isinstance(lease, codes.Refusal):
            raise RefusedError(lease, retryable=False)
        exclude.add(lease.upstream.name)
        with (
            lease,
            _attempt_with_token(context, prepared, token, lease) as answer,
        ):
            permit.close()
            yield answer


def _correct_ran(may_have_run: bool, refusal: codes.Refusal) -> codes.Refusal:
    """Returns the refusal of a request that an earlier attempt may have run."""
    if may_have_run and refusal.ran is codes.Ran.NO:
        return refusal._replace(ran=codes.Ran.UNKNOWN)
    return refusal


@contextlib.contextmanager
def run(
    context: contexts.Context, prepared: PreparedRequest
) -> Iterator[DispatchedAnswer]:
    """Runs a request and yields the answer of the upstream that took it.

    Raises:
        RefusedError: No upstream answered; it says whether the request ran.
    """
    token = RateToken(context, prepared.admitted)
    token.ensure_recent(prepared.deadline)
    exclude: set[str] = set()
    may_have_run = False
    for attempt in range(1, MAX_ATTEMPTS + 1):
        answered = False
        try:
            with _attempt_with_slot(
                context, prepared, token, exclude
            ) as answer:
                answered = True
                yield answer
                return
        except RefusedError as error:
            may_have_run = may_have_run or error.refusal.ran is not codes.Ran.NO
            if answered or not error.retryable or attempt == MAX_ATTEMPTS:
                raise RefusedError(
                    _correct_ran(may_have_run, error.refusal), False
                ) from error
            logs.event(
                LOGGER,
                "request-retried",
                attempt=attempt,
                code=int(error.refusal.code),
                account=prepared.admitted.account,
            )


def start_timing(
    context: contexts.Context, admitted: admission.AdmittedRequest
) -> Callable[[int], None]:
    """Returns a function to call with the status once the answer is out."""
    started_at = context.clock.monotonic()

    def record_answer(status: int) -> None:
        milliseconds = (context.clock.monotonic() - started_at) * 1000
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

    return record_answer
