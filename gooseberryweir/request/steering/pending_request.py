"""An admitted request without an answer yet, and the failure of an attempt."""

from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.platform import headers as wire
from gooseberryweir.request.steering import admission


class PendingRequest(NamedTuple):
    """An admitted request without an answer yet.

    Attributes:
        message: The request as received.
        caller_headers: Decoded headers of the request.
        admitted: Route, client account, allowed regions and importance.
        service: Name of the service that runs the request.
        started_at: Monotonic time at which the request was read, in seconds.
        deadline: Monotonic time at which the answer is due, in seconds.
        object_name: Name of the object for affinity (see `placement`); empty
            for none.
        fingerprint: Digest that identifies the request and its retries.
        is_forwarded: True if another host forwarded the request to this one.
    """

    message: http_messages.Message
    caller_headers: wire.RequestHeaders
    admitted: admission.AdmissionResult
    service: str
    started_at: float
    deadline: float
    object_name: str
    fingerprint: str
    is_forwarded: bool = False


class AttemptFailure(NamedTuple):
    """Failure of an attempt to get an answer from an upstream.

    Attributes:
        code: Result code if no other attempt follows.
        ran: YES if the upstream ran the request, NO if it did not, UNKNOWN if
            it may have.
        reason: Cause of the failure, for the log.
        answer: The upstream's error answer to pass on, or None.
    """

    code: codes.Code
    ran: codes.ExecutionState
    reason: str
    answer: pipelined_server.Answer | None = None


def claims_not_run(request: PendingRequest, status: int) -> bool:
    """Returns True if a status would tell the caller to send the request again.

    Callers send a non-idempotent request again only after such a status, so it
    needs a statement that the request has not run.

    Args:
        request: The request.
        status: HTTP status of an answer without such a statement.
    """
    return (
        not request.admitted.route.idempotent
        and status in wire.NOT_RUN_STATUSES
    )


def unproven_refusal(status: int) -> AttemptFailure:
    """Returns the failure for an answer for which `claims_not_run` is true."""
    return AttemptFailure(
        codes.Code.OUTCOME_UNKNOWN,
        codes.ExecutionState.UNKNOWN,
        f"status {status} without a statement that the request has not run",
    )
