"""The WSGI application for callers: one function call for each request."""

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
from gooseberryweir.request import body as bodies
from gooseberryweir.request import dispatch
from gooseberryweir.request import fingerprints
from gooseberryweir.request import incoming
from gooseberryweir.request import lookup
from gooseberryweir.request import once
from gooseberryweir.request import tickets

LOGGER = logging.getLogger(__name__)
# Bytes up to which a body is held so that the request can be sent again.
REPEAT_BODY_BYTES = 64 * 1024
# Codes that mean "not run" only if nothing was sent to an upstream yet.
BODY_CODES = (codes.Code.BAD_LENGTH, codes.Code.BODY_TOO_LARGE)


class StreamedBody:
    """The body of an answer on its way to the caller.

    Owns what must end with the request: the slot, the upstream's connection,
    the watch on the caller.
    """

    def __init__(
        self, pieces: Iterator[bytes], owned: contextlib.ExitStack
    ) -> None:
        self.pieces = pieces
        self.owned = owned

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self.pieces
        except Exception as error:
            # Lets the owners see the fault; they raise what it means.
            with self.cut_logged():
                self.owned.__exit__(type(error), error, error.__traceback__)
            raise

    def close(self) -> None:
        """Ends what the request owns; called by the server in every case."""
        with self.cut_logged():
            self.owned.close()

    @contextlib.contextmanager
    def cut_logged(self) -> Iterator[None]:
        """Logs what cut the answer short instead of raising it."""
        try:
            yield
        except dispatch.RefusedError as error:
            logs.event(LOGGER, "answer-cut", code=int(error.refusal.code))
        except disconnect.CallerGoneError:
            logs.event(LOGGER, "caller-gone")


def make_application(context: contexts.Context) -> Callable[..., Any]:
    """Returns the WSGI application of one host."""

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        try:
            found = _answer(context, environ)
        except Exception as error:
            # The process goes on; the caller is told that we don't know.
            logs.event(
                LOGGER,
                "request-failed",
                logging.ERROR,
                error=type(error).__name__,
            )
            found = _refused(context, "", codes.refuse(codes.Code.INTERNAL))
        head = environ["REQUEST_METHOD"] == "HEAD"
        return answers.start(found, start_response, head)

    return application


def _answer(
    context: contexts.Context, environ: dict[str, Any]
) -> answers.Answer:
    """Answers a look-up or a request on a service's path."""
    request = incoming.parse(environ)
    if isinstance(request, codes.Refusal):
        return _refused(context, "", request)
    if request.path != lookup.PATH:
        return _serve(context, request)
    found = lookup.look_up(context, request, environ.get("QUERY_STRING", ""))
    if isinstance(found, codes.Refusal):
        return _refused(context, "", found)
    return found


def note_refusal(
    context: contexts.Context, account: str, refusal: codes.Refusal
) -> None:
    """Logs and counts a refusal."""
    logs.event(
        LOGGER,
        "request-refused",
        account=account,
        code=int(refusal.code),
        ran=refusal.ran.value,
        detail=refusal.detail,
    )
    context.metrics.increment(f"refused.{int(refusal.code)}")
    if account and refusal.code in reporting.WITHIN_RATE:
        context.metrics.increment(f"refused_within_rate.{account}")
        context.outcomes.refused_within_rate(account)


def _refused(
    context: contexts.Context, account: str, refusal: codes.Refusal
) -> answers.Answer:
    """Returns the answer that tells a refusal."""
    note_refusal(context, account, refusal)
    return answers.from_refusal(refusal)


def _serve(
    context: contexts.Context, request: incoming.Incoming
) -> answers.Answer:
    """Serves a request on a service's path."""
    admitted = admission.admit(context, request)
    if isinstance(admitted, codes.Refusal):
        refusal = once.settle_refusal(context, request, admitted)
        return _refused(context, "", refusal)
    if admitted.route.idempotent:
        return _serve_idempotent(context, request, admitted)
    return _serve_once(context, request, admitted)


def _serve_once(
    context: contexts.Context,
    request: incoming.Incoming,
    admitted: admission.Admitted,
) -> answers.Answer:
    """Serves a non-idempotent request by its ticket."""
    account = admitted.account
    ticket = tickets.read(request.ticket)
    if not request.ticket:
        refusal = codes.refuse(codes.Code.TICKET_REQUIRED)
        return _refused(context, account, refusal)
    if ticket is None:
        refusal = codes.refuse(codes.Code.TICKET_INVALID)
        return _refused(context, account, refusal)
    finish = dispatch.timed(context, admitted)
    deadline = context.clock.monotonic() + request.timeout
    limit = context.settings.max_body_bytes
    size = limit if request.content_length is None else request.content_length
    with context.budget.reserve(size) as reserved:
        body = (
            bodies.whole(request, limit)
            if reserved
            else codes.refuse(codes.Code.HOST_OVERLOADED)
        )
        if isinstance(body, codes.Refusal):
            refusal = once.settle_refusal(context, request, body)
            return _refused(context, account, refusal)
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
            outcome = once.run_owned(context, admitted, message)
        else:
            outcome = once.forward(context, ticket.host, message)
    if isinstance(outcome, codes.Refusal):
        return _refused(context, account, outcome)
    finish(outcome.status)
    return answers.Answer(outcome.status, outcome.headers, [outcome.body])


def _work(
    context: contexts.Context,
    request: incoming.Incoming,
    admitted: admission.Admitted,
    deadline: float,
    watch: disconnect.CallerWatch,
) -> dispatch.Work:
    """Reads a small body whole and leaves a large one to be streamed.

    Raises:
        bodies.BodyCutError: The body ended early or was malformed.
        bodies.BodyTooLargeError: The body is over the limit.
    """
    size = request.content_length
    limit = context.settings.max_body_bytes
    if size is not None and size > limit:
        raise bodies.BodyTooLargeError
    most = REPEAT_BODY_BYTES if size is None or size <= REPEAT_BODY_BYTES else 0
    begun = bodies.begin(request, limit, most)
    whole = begun.rest is None
    if whole:
        watch.begin()
        size = len(begun.held)
    return dispatch.Work(
        admitted,
        request.method,
        request.target,
        request.headers,
        (begun.held or None) if whole else _streamed(begun, watch),
        size,
        request.ticket,
        fingerprints.fingerprint(
            admitted.account,
            request.method,
            request.target,
            begun.held if whole else b"",
        ),
        deadline,
        repeatable=whole,
    )


def _streamed(
    begun: bodies.Begun, watch: disconnect.CallerWatch
) -> Iterator[bytes]:
    """Yields the body as it comes, then begins to watch the caller."""
    yield begun.held
    yield from begun.rest or ()
    watch.begin()


def _serve_idempotent(
    context: contexts.Context,
    request: incoming.Incoming,
    admitted: admission.Admitted,
) -> answers.Answer:
    """Serves an idempotent request, its answer streamed."""
    sent = False
    deadline = context.clock.monotonic() + request.timeout
    try:
        with contextlib.ExitStack() as owned:
            watch = owned.enter_context(disconnect.CallerWatch(request.caller))
            work = _work(context, request, admitted, deadline, watch)
            sent = True
            return _streaming(context, work, owned)
    except dispatch.RefusedError as error:
        refusal = error.refusal
    except disconnect.CallerGoneError:
        refusal = codes.refuse(codes.Code.OUTCOME_UNKNOWN, "caller gone")
    except bodies.BodyCutError:
        refusal = codes.refuse(codes.Code.BAD_LENGTH)
    except bodies.BodyTooLargeError:
        refusal = codes.refuse(codes.Code.BODY_TOO_LARGE)
    if sent and refusal.code in BODY_CODES:
        refusal = refusal._replace(ran=codes.Ran.UNKNOWN)
    return _refused(context, admitted.account, refusal)


def _streaming(
    context: contexts.Context,
    work: dispatch.Work,
    owned: contextlib.ExitStack,
) -> answers.Answer:
    """Runs a request and returns its answer, which owns what it needs.

    The first piece is awaited, so that an upstream that ends before it can
    still be told as a refusal.
    """
    finish = dispatch.timed(context, work.admitted)
    found = owned.enter_context(dispatch.run(context, work))
    first = next(found.body, b"")
    owned.callback(finish, found.status)
    pieces = itertools.chain((first,), found.body)
    streamed = StreamedBody(pieces, owned.pop_all())
    return answers.Answer(found.status, found.headers, streamed)
