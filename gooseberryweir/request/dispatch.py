"""Dispatch: sends an admitted request to an upstream and retries failures.

A request is retried only if it is idempotent and its body is still buffered, or
if no byte of it was sent. Each refusal, an error answer by this system, states
whether the request may have run, that is, whether an upstream may have begun to
process it.
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
from gooseberryweir.connection import addresses
from gooseberryweir.connection import upstream_http
from gooseberryweir.process import context as contexts
from gooseberryweir.process.shares import slots as slots_module
from gooseberryweir.request import admission
from gooseberryweir.request import incoming
from gooseberryweir.request import routing

LOGGER = logging.getLogger(__name__)
MAX_ATTEMPTS = 3
# Timeout of one connection attempt of `is_down`, pause between the attempts,
# and their number.
DOWN_CHECK_TIMEOUT_SECONDS = 0.3
DOWN_CHECK_INTERVAL_SECONDS = 0.02
DOWN_CHECK_ATTEMPTS = 4
# Longest time from taking a token of the account's rate limit to sending the
# request.
TOKEN_MAX_AGE_SECONDS = 0.1
# Longest wait for a new token while the request holds a slot of an upstream:
# several round trips to the host that grants the tokens.
TOKEN_RENEWAL_TIMEOUT_SECONDS = 0.5
ACCOUNT_HEADER = "Gooseberryweir-Account"


class PreparedRequest(NamedTuple):
    """An admitted request that is ready to be sent to upstreams.

    Attributes:
        admitted: Route and client account, found by admission.
        method: HTTP method.
        target: Path and query.
        headers: Headers to forward.
        body: The whole body, its pieces, or None without a body.
        content_length: Length of the body in bytes, or None if it is chunked.
        ticket: Ticket of a non-idempotent request, or empty.
        fingerprint: Digest of the request, by which the upstreams that it
            crashed are counted.
        deadline: Monotonic time by which the answer is due, seconds.
        retryable: True if the request may be sent to a second upstream.
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
    """An upstream's answer, whose body is still being received.

    Attributes:
        status: HTTP status code.
        headers: Names and values of the headers.
        body: Pieces of the body as they arrive.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]


class RefusedError(Exception):
    """An attempt to run a request ended without an answer.

    Attributes:
        refusal: Refusal to return to the caller.
        retryable: True if another upstream may be tried.
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
    """Takes one token of the client account's rate limit.

    The home of the limit is the host that grants its tokens.

    Raises:
        RefusedError: The account exceeds its rate, or the home of the limit
            did not answer.
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
    """The token of the account's rate limit that a request uses.

    A request may wait for a slot after it took its token. If old tokens were
    valid, many waiting requests could start together and exceed the account's
    rate. A token therefore expires after `TOKEN_MAX_AGE_SECONDS`; it is lost,
    and the request must take another one.

    Attributes:
        context: State of the host process.
        admitted: Request that uses the token.
        taken_at: Monotonic time at which the token was taken, seconds.
    """

    def __init__(
        self, context: contexts.Context, admitted: admission.AdmittedRequest
    ) -> None:
        self.context = context
        self.admitted = admitted
        self.taken_at = -math.inf

    def ensure_recent(self, deadline: float) -> None:
        """Takes a new token if there is none or it has expired.

        Raises:
            RefusedError: The account exceeds its rate, or the home of the
                limit did not answer.
        """
        now = self.context.clock.monotonic()
        if now - self.taken_at <= TOKEN_MAX_AGE_SECONDS:
            return
        take_rate_token(self.context, self.admitted, deadline)
        self.taken_at = self.context.clock.monotonic()


def upstream_headers(
    context: contexts.Context, prepared: PreparedRequest, address: str
) -> tuple[tuple[str, str], ...]:
    """Returns all headers of the request to an upstream."""
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
    """Returns True if an upstream's address refuses connections."""
    try:
        with eventlet.Timeout(DOWN_CHECK_TIMEOUT_SECONDS):
            addresses.connect(address).close()
    except ConnectionRefusedError:
        return True
    except (OSError, eventlet.Timeout):
        return False
    return False


def is_down(context: contexts.Context, address: str) -> bool:
    """Returns True if the process of an upstream has ended.

    A process that ends closes its sockets one by one, so its listener may close
    shortly after the request's connection: the check is repeated a few times.
    """
    for _ in range(DOWN_CHECK_ATTEMPTS):
        if refuses_connections(address):
            return True
        context.clock.sleep(DOWN_CHECK_INTERVAL_SECONDS)
    return False


def _check_admission(
    context: contexts.Context, prepared: PreparedRequest
) -> None:
    """Checks that the request is still admitted and has not timed out.

    Raises:
        RefusedError: The request may not be sent now.
    """
    refusal = admission.recheck(context, prepared.admitted)
    if refusal is None and context.clock.monotonic() >= prepared.deadline:
        refusal = codes.refuse(codes.Code.DEADLINE_PASSED)
    if refusal is not None:
        raise RefusedError(refusal, retryable=False)


def _check_crash_limit(
    context: contexts.Context, prepared: PreparedRequest
) -> None:
    """Checks that the request has not crashed too many upstreams.

    Raises:
        RefusedError: The request is suspect: the number of upstreams that it
            crashed has reached the crash limit of its class of work.
    """
    declared = context.tables.declarations
    if declared is None:
        return
    limit = declared.classes[prepared.admitted.work_class].crash_limit
    if context.suspects.crash_count(prepared.fingerprint) >= limit:
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
    """Records a crash if the upstream is down; returns the error to raise."""
    name = lease.upstream.name
    down = is_down(context, lease.upstream.address)
    if down:
        context.suspects.record_crash(prepared.fingerprint, name)
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
    """Translates connection errors of an attempt to refusals.

    Raises:
        RefusedError: The attempt failed.
    """
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
    """Builds the HTTP request to an upstream."""
    return upstream_http.UpstreamRequest(
        prepared.method,
        prepared.target,
        upstream_headers(context, prepared, address),
        prepared.body,
        prepared.admitted.route.idempotent,
    )


def _read_body(
    context: contexts.Context,
    prepared: PreparedRequest,
    answer: upstream_http.UpstreamAnswer,
) -> Iterator[bytes]:
    """Yields the body of an answer; then records that the request completed.

    An upstream may crash amid its answer, so the head alone is no success.

    Raises:
        UpstreamDiedError: The connection ended before the body was complete.
        UpstreamTimeoutError: The wait for a piece exceeded the timeout.
    """
    yield from upstream_http.read_body(answer)
    context.suspects.record_success(prepared.fingerprint)


@contextlib.contextmanager
def _attempt(
    context: contexts.Context,
    prepared: PreparedRequest,
    lease: slots_module.Lease,
) -> Iterator[DispatchedAnswer]:
    """Sends the request to one upstream and yields its answer.

    Raises:
        RefusedError: The request may not be sent now, or the upstream gave no
            answer or shed the request, that is, did not start to run it.
    """
    _check_admission(context, prepared)
    upstream = lease.upstream
    request = _build_request(context, prepared, upstream.address)
    timeout = prepared.deadline - context.clock.monotonic()
    timeout_error = upstream_http.UpstreamTimeoutError("the deadline passed")
    with (
        _translate_errors(context, prepared, lease),
        eventlet.Timeout(max(0.001, timeout), timeout_error),
        context.upstream_connections.send(
            upstream.address, upstream.connections, request, timeout
        ) as answer,
    ):
        if answer.shed:
            refusal = codes.refuse(codes.Code.UPSTREAM_SHED)
            raise RefusedError(refusal, retryable=prepared.retryable)
        yield DispatchedAnswer(
            answer.status,
            answer.headers,
            _read_body(context, prepared, answer),
        )


@contextlib.contextmanager
def _attempt_with_token(
    context: contexts.Context,
    prepared: PreparedRequest,
    token: RateToken,
    lease: slots_module.Lease,
) -> Iterator[DispatchedAnswer]:
    """Ensures a recent rate token, then sends the request.

    The wait for a token is short, since the request occupies a slot.
    """
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
    """Leases a slot and sends the request to the slot's upstream.

    An upstream has one slot for each request that it processes concurrently.

    Requests with equal fingerprints that never completed on this host run one
    at a time: each one holds a permit until its upstream answers. If the
    attempt fails, the permit expires instead of being released. The name of the
    upstream is added to `exclude`.
    """
    _check_crash_limit(context, prepared)
    with contextlib.ExitStack() as permit:
        remaining = prepared.deadline - context.clock.monotonic()
        if not permit.enter_context(
            context.suspects.run_exclusively(prepared.fingerprint, remaining)
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
    """Returns the last attempt's refusal; its `ran` also covers earlier ones.

    Args:
        may_have_run: True if an earlier attempt may have run the request.
        refusal: Refusal of the last attempt.
    """
    if may_have_run and refusal.ran is codes.ExecutionState.NO:
        return refusal._replace(ran=codes.ExecutionState.UNKNOWN)
    return refusal


@contextlib.contextmanager
def run(
    context: contexts.Context, prepared: PreparedRequest
) -> Iterator[DispatchedAnswer]:
    """Runs a request and yields the answer of the upstream that served it.

    Raises:
        RefusedError: No upstream answered; its refusal states whether the
            request may have run.
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
            may_have_run = (
                may_have_run or error.refusal.ran is not codes.ExecutionState.NO
            )
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
    """Starts a timer; returns a function that records the answer's latency.

    Call that function with the HTTP status once the answer was sent.
    """
    started_at = context.clock.monotonic()

    def record_answer(status: int) -> None:
        milliseconds = (context.clock.monotonic() - started_at) * 1000
        work_class = admitted.work_class
        context.metrics.timing(f"latency.{work_class}", milliseconds)
        context.outcomes.record_answer(admitted.account, milliseconds)
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
