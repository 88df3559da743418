"""The WSGI application that serves callers, one call for each request."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import itertools
import logging
from typing import Any

from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.connection import disconnect
from gooseberryweir.connection import messages
from gooseberryweir.process import context as contexts
from gooseberryweir.process import reporting
from gooseberryweir.request import admission
from gooseberryweir.request import answer as answers
from gooseberryweir.request import at_most_once
from gooseberryweir.request import body as bodies
from gooseberryweir.request import dispatch
from gooseberryweir.request import fingerprints
from gooseberryweir.request import incoming
from gooseberryweir.request import lookup
from gooseberryweir.request import tickets

LOGGER = logging.getLogger(__name__)
# Bodies up to this size are buffered so that the request can be retried.
MAX_RETRY_BODY_BYTES = 64 * 1024
# Codes of a malformed or oversized body. They mean "not run" only if nothing
# was sent to an upstream before the error.
BODY_ERROR_CODES = (codes.Code.BAD_LENGTH, codes.Code.BODY_TOO_LARGE)


class StreamedBody:
    """Streams the body of an answer and releases the request's resources.

    Attributes:
        pieces: Pieces of the body as the upstream sends them.
        resources: Context managers that end with the request: the slot, the
            upstream connection and the watch on the caller's connection.
    """

    def __init__(
        self, pieces: Iterator[bytes], resources: contextlib.ExitStack
    ) -> None:
        self.pieces = pieces
        self.resources = resources

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self.pieces
        except Exception as error:
            # The context managers translate a connection error to a
            # `RefusedError`, which `log_interruption` logs.
            with self.log_interruption():
                self.resources.__exit__(type(error), error, error.__traceback__)
            raise

    def close(self) -> None:
        """Releases the resources; the WSGI server calls it in every case."""
        with self.log_interruption():
            self.resources.close()

    @contextlib.contextmanager
    def log_interruption(self) -> Iterator[None]:
        """Logs, instead of raising, an error that truncated the answer."""
        try:
            yield
        except dispatch.RefusedError as error:
            logs.event(LOGGER, "answer-cut", code=int(error.refusal.code))
        except disconnect.CallerGoneError:
            logs.event(LOGGER, "caller-gone")


def make_application(context: contexts.Context) -> Callable[..., Any]:
    """Returns the WSGI application of this host."""

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        try:
            answer = _handle(context, environ)
        except Exception as error:
            # The process keeps running. The code INTERNAL tells the caller
            # that the request may have run.
            logs.event(
                LOGGER,
                "request-failed",
                logging.ERROR,
                error=type(error).__name__,
            )
            answer = _refuse(context, "", codes.refuse(codes.Code.INTERNAL))
        is_head = environ["REQUEST_METHOD"] == "HEAD"
        return answers.start(answer, start_response, is_head)

    return application


def _handle(
    context: contexts.Context, environ: dict[str, Any]
) -> answers.Answer:
    """Answers a look-up or a request for a service.

    A look-up asks for the list of hosts that the caller should use.
    """
    request = incoming.parse(environ)
    if isinstance(request, codes.Refusal):
        return _refuse(context, "", request)
    if request.path != lookup.PATH:
        return _serve(context, request)
    answer = lookup.look_up(context, request, environ.get("QUERY_STRING", ""))
    if isinstance(answer, codes.Refusal):
        return _refuse(context, "", answer)
    return answer


def record_refusal(
    context: contexts.Context, account: str, refusal: codes.Refusal
) -> None:
    """Logs a refusal and counts it in the metrics."""
    logs.event(
        LOGGER,
        "request-refused",
        account=account,
        code=int(refusal.code),
        ran=refusal.ran.value,
        detail=refusal.detail,
    )
    context.metrics.increment(f"refused.{int(refusal.code)}")
    if account and refusal.code in reporting.REFUSALS_WITHIN_RATE:
        context.metrics.increment(f"refused_within_rate.{account}")
        context.outcomes.record_refusal_within_rate(account)


def _refuse(
    context: contexts.Context, account: str, refusal: codes.Refusal
) -> answers.Answer:
    """Records a refusal and returns the answer that reports it."""
    record_refusal(context, account, refusal)
    return answers.from_refusal(refusal)


def _serve(
    context: contexts.Context, request: incoming.IncomingRequest
) -> answers.Answer:
    """Admits a request for a service and serves it."""
    admitted = admission.admit(context, request)
    if isinstance(admitted, codes.Refusal):
        refusal = at_most_once.correct_ran(context, request, admitted)
        return _refuse(context, "", refusal)
    if admitted.route.idempotent:
        return _serve_idempotent(context, request, admitted)
    return _serve_non_idempotent(context, request, admitted)


def _serve_non_idempotent(
    context: contexts.Context,
    request: incoming.IncomingRequest,
    admitted: admission.AdmittedRequest,
) -> answers.Answer:
    """Serves a non-idempotent request, which needs a ticket.

    A ticket is an idempotency key issued by a host. If another host issued it,
    the request is forwarded to that host.
    """
    account = admitted.account
    ticket = tickets.parse(request.ticket)
    if not request.ticket:
        refusal = codes.refuse(codes.Code.TICKET_REQUIRED)
        return _refuse(context, account, refusal)
    if ticket is None:
        refusal = codes.refuse(codes.Code.TICKET_INVALID)
        return _refuse(context, account, refusal)
    record_answer = dispatch.start_timing(context, admitted)
    deadline = context.clock.monotonic() + request.timeout
    limit = context.settings.max_body_bytes
    size = limit if request.content_length is None else request.content_length
    with context.body_budget.reserve(size) as reserved:
        body = (
            bodies.read_whole(request, limit)
            if reserved
            else codes.refuse(codes.Code.HOST_OVERLOADED)
        )
        if isinstance(body, codes.Refusal):
            refusal = at_most_once.correct_ran(context, request, body)
            return _refuse(context, account, refusal)
        message = messages.Forward(
            request.ticket,
            account,
            request.key_digest,
            request.method,
            request.target,
            request.headers,
            body,
            max(0.0, deadline - context.clock.monotonic()),
            0,
        )
        if ticket.host == context.settings.host:
            outcome = at_most_once.run_or_join(context, admitted, message)
        else:
            outcome = at_most_once.forward(context, ticket.host, message)
    if isinstance(outcome, codes.Refusal):
        return _refuse(context, account, outcome)
    record_answer(outcome.status)
    return answers.Answer(outcome.status, outcome.headers, [outcome.body])


def _prepare(
    context: contexts.Context,
    request: incoming.IncomingRequest,
    admitted: admission.AdmittedRequest,
    deadline: float,
    caller_watch: disconnect.CallerWatch,
) -> dispatch.PreparedRequest:
    """Prepares a request for dispatch and buffers its body if it is small.

    A larger body is streamed to the upstream, so it can't be sent again.

    Raises:
        bodies.BodyCutError: The body ended early or was malformed.
        bodies.BodyTooLargeError: The body is larger than the host accepts.
    """
    size = request.content_length
    limit = context.settings.max_body_bytes
    if size is not None and size > limit:
        raise bodies.BodyTooLargeError
    buffer_limit = (
        MAX_RETRY_BODY_BYTES
        if size is None or size <= MAX_RETRY_BODY_BYTES
        else 0
    )
    start = bodies.read_start(request, limit, buffer_limit)
    complete = start.remainder is None
    if complete:
        caller_watch.start()
        size = len(start.data)
    return dispatch.PreparedRequest(
        admitted,
        request.method,
        request.target,
        request.headers,
        (start.data or None) if complete else _stream_body(start, caller_watch),
        size,
        request.ticket,
        fingerprints.fingerprint(
            admitted.account,
            request.method,
            request.target,
            start.data if complete else b"",
        ),
        deadline,
        retryable=complete,
    )


def _stream_body(
    start: bodies.BodyStart, caller_watch: disconnect.CallerWatch
) -> Iterator[bytes]:
    """Yields the body as it arrives, then watches for the caller's disconnect.

    The watch reads the caller's socket, so it starts when the whole body was
    received.
    """
    yield start.data
    yield from start.remainder or ()
    caller_watch.start()


def _serve_idempotent(
    context: contexts.Context,
    request: incoming.IncomingRequest,
    admitted: admission.AdmittedRequest,
) -> answers.Answer:
    """Serves an idempotent request and streams its answer."""
    dispatched = False
    deadline = context.clock.monotonic() + request.timeout
    try:
        with contextlib.ExitStack() as resources:
            caller_watch = resources.enter_context(
                disconnect.CallerWatch(request.caller_socket)
            )
            prepared = _prepare(
                context, request, admitted, deadline, caller_watch
            )
            dispatched = True
            return _stream_answer(context, prepared, resources)
    except dispatch.RefusedError as error:
        refusal = error.refusal
    except disconnect.CallerGoneError:
        refusal = codes.refuse(codes.Code.OUTCOME_UNKNOWN, "caller gone")
    except bodies.BodyCutError:
        refusal = codes.refuse(codes.Code.BAD_LENGTH)
    except bodies.BodyTooLargeError:
        refusal = codes.refuse(codes.Code.BODY_TOO_LARGE)
    if dispatched and refusal.code in BODY_ERROR_CODES:
        refusal = refusal._replace(ran=codes.ExecutionState.UNKNOWN)
    return _refuse(context, admitted.account, refusal)


def _stream_answer(
    context: contexts.Context,
    prepared: dispatch.PreparedRequest,
    resources: contextlib.ExitStack,
) -> answers.Answer:
    """Runs a request and returns an answer that streams the body.

    The resources are released when the answer's body fails or is closed. The
    first piece is read here, so that an upstream that dies before sending it is
    reported as a refusal.
    """
    record_answer = dispatch.start_timing(context, prepared.admitted)
    upstream_answer = resources.enter_context(dispatch.run(context, prepared))
    first_piece = next(upstream_answer.body, b"")
    resources.callback(record_answer, upstream_answer.status)
    pieces = itertools.chain((first_piece,), upstream_answer.body)
    streamed = StreamedBody(pieces, resources.pop_all())
    return answers.Answer(
        upstream_answer.status, upstream_answer.headers, streamed
    )
