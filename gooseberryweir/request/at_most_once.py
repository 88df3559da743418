"""Runs non-idempotent requests at most once, identified by their tickets.

A repeat of a request gets the answer of the first run. A host that did not
issue the ticket forwards the request to the host that did (see `tickets`).
"""

import logging
import urllib.parse

import eventlet

from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link
from gooseberryweir.process import context as contexts
from gooseberryweir.request import admission
from gooseberryweir.request import dispatch
from gooseberryweir.request import fingerprints
from gooseberryweir.request import incoming
from gooseberryweir.request import tickets

LOGGER = logging.getLogger(__name__)
# The forwarding host waits for the reply this much longer than the issuing host
# waits for the outcome.
FORWARD_MARGIN_SECONDS = 0.5


def run_or_join(
    context: contexts.Context,
    admitted: admission.AdmittedRequest,
    request: messages.Forward,
) -> tickets.Outcome:
    """Returns the outcome of a request whose ticket this process issued.

    Starts the request unless it was started before. Waits for its outcome until
    the request's timeout, then returns a refusal with the code OUTCOME_UNKNOWN.
    """
    request_digest = tickets.request_digest(
        request.method, request.target, request.body
    )
    record_or_outcome = context.ledger.begin(
        request.ticket, admitted.account, request_digest
    )
    if record_or_outcome is None:
        record_or_outcome = context.ledger.records[request.ticket]
        eventlet.spawn(_run_and_record, context, admitted, request)
    if not isinstance(record_or_outcome, tickets.TicketRecord):
        return record_or_outcome
    outcome = record_or_outcome.finished.wait(timeout=request.timeout)
    if outcome is None:
        return codes.refuse(codes.Code.OUTCOME_UNKNOWN)
    return outcome


def _run_and_record(
    context: contexts.Context,
    admitted: admission.AdmittedRequest,
    request: messages.Forward,
) -> None:
    """Runs a request, even if nobody waits for it, and stores its outcome."""
    outcome: tickets.Outcome = codes.refuse(codes.Code.OUTCOME_UNKNOWN)
    try:
        outcome = _dispatch(context, admitted, request)
    except dispatch.RefusedError as error:
        outcome = error.refusal
    finally:
        context.ledger.finish(request.ticket, outcome)
        logs.event(
            LOGGER,
            "ticket-finished",
            account=admitted.account,
            ticket=request.ticket,
            outcome=_describe_outcome(outcome),
        )


def _describe_outcome(outcome: tickets.Outcome) -> str:
    """Returns a refusal's code and `ran`, or an answer's status, as text."""
    if isinstance(outcome, codes.Refusal):
        return f"{outcome.code.name.lower()}/{outcome.ran.value}"
    return str(outcome.status)


def _dispatch(
    context: contexts.Context,
    admitted: admission.AdmittedRequest,
    request: messages.Forward,
) -> tickets.StoredAnswer:
    """Sends a request to an upstream and returns the complete answer."""
    deadline = context.clock.monotonic() + request.timeout
    prepared = dispatch.PreparedRequest(
        admitted,
        request.method,
        request.target,
        request.headers,
        request.body,
        len(request.body),
        request.ticket,
        fingerprints.fingerprint(
            admitted.account, request.method, request.target, request.body
        ),
        deadline,
        retryable=False,
    )
    with dispatch.run(context, prepared) as answer:
        body = b"".join(answer.body)
        return tickets.StoredAnswer(answer.status, answer.headers, body)


def forward(
    context: contexts.Context, issuer: str, request: messages.Forward
) -> tickets.Outcome:
    """Forwards a request to the host that issued its ticket.

    The outcome is unknown if that host is not listed or did not answer.
    """
    unknown = codes.refuse(codes.Code.OUTCOME_UNKNOWN)
    if issuer not in context.tables.hosts:
        return unknown
    try:
        reply = context.peering.call(
            issuer, request, request.timeout + FORWARD_MARGIN_SECONDS
        )
    except peer_link.PeerError as error:
        logs.event(
            LOGGER,
            "forward-failed",
            logging.WARNING,
            owner=issuer,
            error=str(error),
        )
        return unknown
    return _from_message(reply)


def _from_message(answer: messages.Answer) -> tickets.Outcome:
    """Converts a peer's message to an outcome."""
    if answer.code:
        retry_after = answer.retry_after if answer.retry_after >= 0 else None
        return codes.Refusal(
            codes.Code(answer.code),
            codes.ExecutionState(answer.ran),
            retry_after,
            answer.detail,
        )
    return tickets.StoredAnswer(answer.status, answer.headers, answer.body)


def _to_message(outcome: tickets.Outcome) -> messages.Answer:
    """Converts an outcome to a message for a peer."""
    if isinstance(outcome, codes.Refusal):
        retry_after = outcome.retry_after
        return messages.Answer(
            0,
            (),
            b"",
            int(outcome.code),
            outcome.ran.value,
            -1.0 if retry_after is None else retry_after,
            outcome.detail,
        )
    return messages.Answer(
        outcome.status, outcome.headers, outcome.body, 0, "", -1.0, ""
    )


def handle_forward(
    context: contexts.Context, request: messages.Forward
) -> messages.Answer:
    """Handles a request that a peer forwarded to this host."""
    return _to_message(_serve_forwarded(context, request))


def _serve_forwarded(
    context: contexts.Context, request: messages.Forward
) -> tickets.Outcome:
    """Runs a forwarded request and returns its outcome.

    A request that the peer or this host's admission refuses is not run. Its
    outcome is the refusal, with the execution state of earlier attempts with
    the ticket as its `ran`.
    """
    if request.refusal:
        refusal = codes.refuse(codes.Code(request.refusal))
        return refusal._replace(
            ran=context.ledger.execution_state(request.ticket)
        )
    path = urllib.parse.urlsplit(request.target).path
    admitted = admission.admit_forwarded(
        context, request.method, path, request.key_digest
    )
    if isinstance(admitted, codes.Refusal):
        return admitted._replace(
            ran=context.ledger.execution_state(request.ticket)
        )
    return run_or_join(context, admitted, request)


def correct_ran(
    context: contexts.Context,
    request: incoming.IncomingRequest,
    refusal: codes.Refusal,
) -> codes.Refusal:
    """Returns a refusal whose `ran` also covers earlier attempts.

    The refused attempt did not run, but an earlier one with the same ticket may
    have run, which only the issuing host knows.
    """
    ticket = tickets.parse(request.ticket)
    if ticket is None or refusal.ran is not codes.ExecutionState.NO:
        return refusal
    if ticket.host == context.settings.host:
        if ticket.instance_id == context.ledger.instance_id:
            ran = context.ledger.execution_state(request.ticket)
            return refusal._replace(ran=ran)
        return refusal._replace(ran=codes.ExecutionState.UNKNOWN)
    message = messages.Forward(
        request.ticket,
        "",
        "",
        request.method,
        request.target,
        (),
        b"",
        1.0,
        int(refusal.code),
    )
    outcome = forward(context, ticket.host, message)
    if isinstance(outcome, codes.Refusal):
        return refusal._replace(ran=outcome.ran)
    return refusal._replace(ran=codes.ExecutionState.YES)
