"""HTTP answers to callers, made from an upstream's answer or a refusal.

A refusal is an error answer by this system.
"""

from collections.abc import Iterable
import http
from typing import Any
from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir.connection import caller_http


class Answer(NamedTuple):
    """An HTTP answer to a caller.

    Attributes:
        status: HTTP status code.
        headers: Names and values of the headers.
        body: Pieces of the body. The server calls its `close` method, if it
            has one, after the last use.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]


def from_refusal(refusal: codes.Refusal) -> Answer:
    """Returns the HTTP answer that reports a refusal to the caller."""
    body = caller_http.refusal_body(refusal)
    headers = [
        *caller_http.refusal_headers(refusal),
        ("Content-Length", str(len(body))),
    ]
    status = codes.TABLE[refusal.code].status
    return Answer(status, tuple(headers), [body])


def status_line(status: int) -> str:
    """Returns the WSGI status line: status code and reason phrase."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def start(
    answer: Answer, start_response: Any, is_head: bool = False
) -> Iterable[bytes]:
    """Starts a WSGI response and returns its body.

    Args:
        answer: Answer to send.
        start_response: The `start_response` function of the WSGI server.
        is_head: True for a HEAD request, whose answer has no body. A body with
            a `close` method is returned even so, since it must be closed.
    """
    start_response(status_line(answer.status), list(answer.headers))
    if is_head and not hasattr(answer.body, "close"):
        return []
    return answer.body
