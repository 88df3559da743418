"""Result codes of requests and commands, and the errors that carry them.

The table in docs/reference/result-codes.md lists the same rows; a test checks
that both are equal.
"""

import enum
from typing import NamedTuple

# Header of a refusal (an error answer by a host) with its result code.
CODE_HEADER = "Gooseberryweir-Code"


class ExecutionState(enum.Enum):
    """States if a request ran (an upstream began to process it), if known."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Code(enum.IntEnum):
    """Result codes; the hundreds digit tells the kind of result.

    2: the request is invalid or not allowed; 3: this host or every upstream
    refused it; 4: it may have run, but its complete answer is not available;
    5: a command failed or the settings are invalid; 6: internal error.
    """

    MISSING_KEY = 201
    MALFORMED_KEY = 202
    UNKNOWN_KEY = 203
    WITHDRAWN_KEY = 204
    WRONG_ACCOUNT = 205
    UNKNOWN_ROUTE = 206
    HEADERS_TOO_LARGE = 207
    BAD_LENGTH = 208
    AMBIGUOUS_LENGTH = 209
    FOLDED_HEADER = 210
    BAD_PATH = 211
    TICKET_REQUIRED = 212
    TICKET_INVALID = 213
    TICKET_MISMATCH = 214
    TICKET_EXPIRED = 215
    BODY_TOO_LARGE = 216
    BAD_TIMEOUT = 217
    BAD_METHOD = 218
    RATE_EXCEEDED = 301
    NO_HEADROOM = 302
    SHIFT_CAPPED = 303
    HOST_STALE = 304
    HOST_LEAVING = 305
    HOST_STARTING = 306
    SUSPECT_REQUEST = 307
    DEADLINE_PASSED = 308
    UPSTREAM_SHED = 309
    HOST_OVERLOADED = 310
    NO_HOME = 311
    UPSTREAMS_UNREACHABLE = 312
    OUTCOME_UNKNOWN = 401
    UPSTREAM_DIED = 402
    UPSTREAM_TIMEOUT = 403
    ANSWER_TRUNCATED = 404
    ANSWER_NOT_KEPT = 405
    CONFLICT = 501
    PLATFORM_UNREACHABLE = 502
    INVALID_DECLARATION = 503
    NOT_IN_FORCE = 504
    FORBIDDEN = 505
    BAD_SETTINGS = 506
    HOST_UNREACHABLE = 507
    INTERNAL = 601


class CodeRow(NamedTuple):
    """Default error answer for one result code.

    Attributes:
        status: HTTP status.
        ran: Execution state in the answer, unless `refuse` is given another.
        retry_after: Seconds after which the caller may retry; None if a retry
            of the same request can't succeed.
        text: Sentence that describes the result.
    """

    status: int
    ran: ExecutionState
    retry_after: int | None
    text: str


_NOT_EXECUTED = ExecutionState.NO
_EXECUTION_UNKNOWN = ExecutionState.UNKNOWN

TABLE: dict[Code, CodeRow] = {
    Code.MISSING_KEY: CodeRow(
        401, _NOT_EXECUTED, None, "the route needs a key"
    ),
    Code.MALFORMED_KEY: CodeRow(
        401, _NOT_EXECUTED, None, "the key is malformed"
    ),
    Code.UNKNOWN_KEY: CodeRow(401, _NOT_EXECUTED, None, "the key is not known"),
    Code.WITHDRAWN_KEY: CodeRow(
        401, _NOT_EXECUTED, None, "the key was withdrawn"
    ),
    Code.WRONG_ACCOUNT: CodeRow(
        403,
        _NOT_EXECUTED,
        None,
        "the client account may not use this route or ticket",
    ),
    Code.UNKNOWN_ROUTE: CodeRow(
        404, _NOT_EXECUTED, None, "no route has this path"
    ),
    Code.HEADERS_TOO_LARGE: CodeRow(
        431, _NOT_EXECUTED, None, "the request headers are too large"
    ),
    Code.BAD_LENGTH: CodeRow(
        400, _NOT_EXECUTED, None, "the body length is not valid"
    ),
    Code.AMBIGUOUS_LENGTH: CodeRow(
        400, _NOT_EXECUTED, None, "the body length is given in two ways"
    ),
    Code.FOLDED_HEADER: CodeRow(
        400, _NOT_EXECUTED, None, "a header line is folded or malformed"
    ),
    Code.BAD_PATH: CodeRow(
        400, _NOT_EXECUTED, None, "the request path is not valid"
    ),
    Code.TICKET_REQUIRED: CodeRow(
        428, _NOT_EXECUTED, None, "a non-idempotent request needs a ticket"
    ),
    Code.TICKET_INVALID: CodeRow(
        400, _NOT_EXECUTED, None, "the ticket is not valid"
    ),
    Code.TICKET_MISMATCH: CodeRow(
        422, _NOT_EXECUTED, None, "the ticket was used for another request"
    ),
    Code.TICKET_EXPIRED: CodeRow(
        410, _EXECUTION_UNKNOWN, None, "the ticket has expired"
    ),
    Code.BODY_TOO_LARGE: CodeRow(
        413, _NOT_EXECUTED, None, "the body is too large"
    ),
    Code.BAD_TIMEOUT: CodeRow(
        400, _NOT_EXECUTED, None, "the timeout is not valid"
    ),
    Code.BAD_METHOD: CodeRow(
        405, _NOT_EXECUTED, None, "the route lacks this method"
    ),
    Code.RATE_EXCEEDED: CodeRow(
        429, _NOT_EXECUTED, 1, "the client account is over its rate"
    ),
    Code.NO_HEADROOM: CodeRow(
        503, _NOT_EXECUTED, 1, "no region can take this class of work now"
    ),
    Code.SHIFT_CAPPED: CodeRow(
        503, _NOT_EXECUTED, 1, "the shift to another region is at its cap"
    ),
    Code.HOST_STALE: CodeRow(
        503, _NOT_EXECUTED, 1, "this host is cut off; use another host"
    ),
    Code.HOST_LEAVING: CodeRow(
        503, _NOT_EXECUTED, 0, "this host is leaving; use another host"
    ),
    Code.HOST_STARTING: CodeRow(
        503, _NOT_EXECUTED, 1, "this host is starting; use another host"
    ),
    Code.SUSPECT_REQUEST: CodeRow(
        422, _NOT_EXECUTED, None, "this request ended several upstreams"
    ),
    Code.DEADLINE_PASSED: CodeRow(
        504,
        _NOT_EXECUTED,
        0,
        "the deadline passed before the request was dispatched",
    ),
    Code.UPSTREAM_SHED: CodeRow(
        503, _NOT_EXECUTED, 1, "every upstream shed the request"
    ),
    Code.HOST_OVERLOADED: CodeRow(
        503, _NOT_EXECUTED, 1, "this host has too many open requests"
    ),
    Code.NO_HOME: CodeRow(
        503,
        _NOT_EXECUTED,
        1,
        "the share of the client account is not known at the moment",
    ),
    Code.UPSTREAMS_UNREACHABLE: CodeRow(
        503,
        _NOT_EXECUTED,
        1,
        "this host reaches no upstream; use another host",
    ),
    Code.OUTCOME_UNKNOWN: CodeRow(
        502, _EXECUTION_UNKNOWN, None, "whether the request ran is not known"
    ),
    Code.UPSTREAM_DIED: CodeRow(
        502, _EXECUTION_UNKNOWN, None, "the upstream ended during the request"
    ),
    Code.UPSTREAM_TIMEOUT: CodeRow(
        504, _EXECUTION_UNKNOWN, None, "the upstream did not answer in time"
    ),
    Code.ANSWER_TRUNCATED: CodeRow(
        502, _EXECUTION_UNKNOWN, None, "the upstream's answer was cut short"
    ),
    Code.ANSWER_NOT_KEPT: CodeRow(
        409,
        ExecutionState.YES,
        None,
        "the request ran; its answer is no longer held",
    ),
    Code.CONFLICT: CodeRow(
        409, _NOT_EXECUTED, None, "another operator changed this object first"
    ),
    Code.PLATFORM_UNREACHABLE: CodeRow(
        503, _NOT_EXECUTED, 5, "the platform does not answer"
    ),
    Code.INVALID_DECLARATION: CodeRow(
        400, _NOT_EXECUTED, None, "the declaration is not valid"
    ),
    Code.NOT_IN_FORCE: CodeRow(
        504, _EXECUTION_UNKNOWN, 5, "accepted, but not yet in force everywhere"
    ),
    Code.FORBIDDEN: CodeRow(
        403, _NOT_EXECUTED, None, "the operator token is not valid"
    ),
    Code.BAD_SETTINGS: CodeRow(
        400, _NOT_EXECUTED, None, "the settings are not valid"
    ),
    Code.HOST_UNREACHABLE: CodeRow(
        503, _NOT_EXECUTED, 5, "no host of ours answers"
    ),
    Code.INTERNAL: CodeRow(500, _EXECUTION_UNKNOWN, 1, "internal error"),
}


class Refusal(NamedTuple):
    """An error answer by this system, in place of an upstream's answer.

    Attributes:
        code: Result code.
        ran: Execution state of the request.
        retry_after: Seconds after which the caller may retry, or None.
        detail: Sentence for the caller; never contains a key.
    """

    code: Code
    ran: ExecutionState
    retry_after: float | None
    detail: str


def refuse(
    code: Code,
    detail: str = "",
    *,
    ran: ExecutionState | None = None,
    retry_after: float | None = None,
) -> Refusal:
    """Returns the refusal for a result code.

    Args:
        code: Result code.
        detail: Sentence for the caller; the table's text if empty.
        ran: Execution state of the request; the table's value if None.
        retry_after: Seconds after which the caller may retry; the table's value
            if None.
    """
    row = TABLE[code]
    return Refusal(
        code,
        row.ran if ran is None else ran,
        row.retry_after if retry_after is None else retry_after,
        detail or row.text,
    )


class UserError(Exception):
    """An error that is printed to the user as one line, without a traceback.

    Examples are invalid settings, invalid input and conflicting changes.

    Attributes:
        code: Result code.
        message: Description of the error.
    """

    def __init__(self, code: Code, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
