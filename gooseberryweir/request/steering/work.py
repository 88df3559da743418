"""One admitted request on its way, and why an attempt at it failed."""

from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.platform import headers as wire
from gooseberryweir.request.steering import admission


class Work(NamedTuple):
    """One admitted request on its way.

    Attributes:
        message: The request as it came.
        said: What its headers say.
        admitted: Its route and client account.
        service: The service that runs it.
        began: Reading of the clock when it was read.
        deadline: Reading of the clock at which its answer is due.
        object_name: Names the object whose upstream is chosen, or empty.
        fingerprint: Names the request and its repeats.
    """

    message: http_messages.Message
    said: wire.RequestHeaders
    admitted: admission.Admitted
    service: str
    began: float
    deadline: float
    object_name: str
    fingerprint: str


class Failure(NamedTuple):
    """Why an attempt has no answer to pass on.

    Attributes:
        code: The result code if no other attempt follows.
        ran: Whether the request may have run.
        reason: For the log.
        answer: An upstream's answer that tells the failure, or None.
    """

    code: codes.Code
    ran: codes.Ran
    reason: str
    answer: pipelined_server.Answer | None = None
