"""The WSGI application for callers: one function call for each request."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import logging
from typing import Any

from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.connection import disconnect
from gooseberryweir.connection import messages
from gooseberryweir.process import context as contexts
from gooseberryweir.process import suspects
from gooseberryweir.request import admission
from gooseberryweir.request import answer as answers
from gooseberryweir.request import body as bodies
from gooseberryweir.request import dispatch
from gooseberryweir.request import incoming
from gooseberryweir.request import lookup
from gooseberryweir.request import once
from gooseberryweir.request import tickets

LOGGER = logging.getLogger(__name__)
# Bytes up to which a body is held so that the request can be sent again.
REPEAT_BODY_BYTES = 64 * 1024


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
            self.owned.__exit__(type(error), error, error.__traceback__)
            raise

    def close(self) -> None:
        """Ends what the request owns; called by the server in every case."""
        try:
            self.owned.close()
        except dispatch.RefusedError as error:
            logs.event(LOGGER, "answer-cut", code=int(error.refusal.code))


def make_application(context: contexts.Context) -> Callable[..., Any]:
    """Returns the WSGI application of one host."""

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        request = incoming.parse(environ)
        if isinstance(request, codes.Refusal):
            found = _refused(context, "", request)
        elif request.path == lookup.PATH:
            query = environ.get("QUERY_STRING", "")
            found = lookup.look_up(context, request, query)
        else:
            found = _serve(context, request)
        return answers.start(found, start_response)

    return application


def _refused(
    context: contexts.Context, account: str, refusal: codes.Refusal
) -> answers.Answer:
    logs.event(
        LOGGER,
        "request-refused",
        account=account,
        code=int(refusal.code),
        ran=refusal.ran.value,
        detail=refusal.detail,
    )
    context.metrics.increment(f"refused.{int(refusal.code)}")
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
            request.timeout,
            0,
        )
        if ticket.host == context.settings.host:
            outcome = once.run_owned(context, admitted, message)
        else:
            outcome = once.forward(context, ticket.host, message)
    if isinstance(outcome, codes.Refusal):
        return _refused(context, account, outcome)
    return answers.Answer(outcome.status, outcome.headers, [outcome.body])


def _work(
    context: contexts.Context,
    request: incoming.Incoming,
    admitted: admission.Admitted,
) -> dispatch.Work | codes.Refusal:
    """Reads a small body whole and leaves a large one to be streamed."""
    size = request.content_length
    limit = context.settings.max_body_bytes
    if size is not None and size > limit:
        return codes.refuse(codes.Code.BODY_TOO_LARGE)
    held = size is not None and size <= REPEAT_BODY_BYTES
    body = bodies.whole(request, limit) if held else b""
    if isinstance(body, codes.Refusal):
        return body
    return dispatch.Work(
        admitted,
        request.method,
        request.target,
        request.headers,
        (body or None) if held else bodies.pieces(request, limit),
        size,
        request.ticket,
        suspects.fingerprint(
            admitted.account, request.method, request.target, body
        ),
        context.clock.monotonic() + request.timeout,
        repeatable=held,
    )


def _serve_idempotent(
    context: contexts.Context,
    request: incoming.Incoming,
    admitted: admission.Admitted,
) -> answers.Answer:
    """Serves an idempotent request, its answer streamed."""
    work = _work(context, request, admitted)
    if isinstance(work, codes.Refusal):
        return _refused(context, admitted.account, work)
    with contextlib.ExitStack() as owned:
        try:
            dispatch.take_rate(context, admitted, work.deadline)
            if work.repeatable:
                owned.enter_context(
                    disconnect.cancel_on_disconnect(request.caller)
                )
            found = owned.enter_context(dispatch.run(context, work))
        except dispatch.RefusedError as error:
            return _refused(context, admitted.account, error.refusal)
        except disconnect.CallerGoneError:
            refusal = codes.refuse(codes.Code.OUTCOME_UNKNOWN, "caller gone")
            return _refused(context, admitted.account, refusal)
        except (bodies.BodyCutError, bodies.BodyTooLargeError):
            refusal = codes.refuse(codes.Code.BAD_LENGTH, ran=codes.Ran.UNKNOWN)
            return _refused(context, admitted.account, refusal)
        finish = dispatch.timed(context, work)
        owned.callback(finish, found.status)
        streamed = StreamedBody(found.body, owned.pop_all())
        return answers.Answer(found.status, found.headers, streamed)
    raise AssertionError("unreachable")
