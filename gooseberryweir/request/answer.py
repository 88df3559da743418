"""The answer to a caller: an upstream's answer or a refusal."""

from collections.abc import Iterable
import http
from typing import Any
from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir.connection import caller_http


class Answer(NamedTuple):
    """An answer to a caller.

    Attributes:
        status: HTTP status.
        headers: Header names and values.
        body: Pieces of the body; closed after use if it has `close`.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]


def from_refusal(refusal: codes.Refusal) -> Answer:
    """Returns the answer that tells a refusal."""
    body = caller_http.refusal_body(refusal)
    headers = [
        *caller_http.refusal_headers(refusal),
        ("Content-Length", str(len(body))),
    ]
    status = codes.TABLE[refusal.code].status
    return Answer(status, tuple(headers), [body])


def status_line(status: int) -> str:
    """Returns the WSGI status for a number."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def start(
    answer: Answer, start_response: Any, is_head: bool = False
) -> Iterable[bytes]:
    """Begins a WSGI response and returns its body.

    Args:
        answer: The answer.
        start_response: WSGI's.
        is_head: Whether the request is a HEAD, so that nothing follows the
            headers. A body that owns something is returned all the same.
    """
    start_response(status_line(answer.status), list(answer.headers))
    if is_head and not hasattr(answer.body, "close"):
        return []
    return answer.body
