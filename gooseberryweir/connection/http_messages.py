"""HTTP messages, read by httptools and written here.

The library does the parsing. It goes on after a message, so that pipelined
requests and bytes that follow an answer are seen.
"""

from collections.abc import Iterable
import http
from typing import NamedTuple

import httptools

Headers = tuple[tuple[str, str], ...]


class Message(NamedTuple):
    """A request or an answer, whole.

    Attributes:
        method: Method of a request, or empty.
        target: Path and query of a request, or empty.
        status: Status of an answer, or 0.
        headers: Headers as they came.
        body: The whole body.
        keep_alive: Whether the connection may be used again.
    """

    method: str
    target: str
    status: int
    headers: Headers
    body: bytes
    keep_alive: bool


class MessageError(Exception):
    """Bytes that are no HTTP message, or one that is too large.

    Attributes:
        status: The status that tells a caller so.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class _Collector:
    """Collects what the parser calls back with."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.completed: list[Message] = []
        self.in_progress = False
        self.reset()

    def reset(self) -> None:
        self.target = b""
        self.headers: list[tuple[str, str]] = []
        self.header_size = 0
        self.body_chunks: list[bytes] = []
        self.body_size = 0
        self.headers_complete = False
        self.error: MessageError | None = None

    def on_message_begin(self) -> None:
        self.reset()
        self.in_progress = True

    def on_url(self, url: bytes) -> None:
        self.target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_header_bytes(len(name) + len(value) + 4)
        self.headers.append((name.decode("latin1"), value.decode("latin1")))

    def _count_header_bytes(self, size: int) -> None:
        self.header_size += size
        if self.header_size > self.max_header_bytes:
            self.error = MessageError(431, "the head is too large")
            raise self.error

    def on_headers_complete(self) -> None:
        self.headers_complete = True

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > self.max_body_bytes:
            self.error = MessageError(413, "the body is too large")
            raise self.error
        self.body_chunks.append(body)

    def complete(self, method: str, status: int, keep_alive: bool) -> None:
        self.completed.append(
            Message(
                method,
                self.target.decode("latin1"),
                status,
                tuple(self.headers),
                b"".join(self.body_chunks),
                keep_alive,
            )
        )
        self.in_progress = False


class _RequestCollector(_Collector):
    parser: httptools.HttpRequestParser

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode("latin1")
        self.complete(method, 0, self.parser.should_keep_alive())


class RequestReader:
    """Turns the bytes of a caller's connection into requests."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.collector = _RequestCollector(max_header_bytes, max_body_bytes)
        self.parser = httptools.HttpRequestParser(self.collector)
        self.collector.parser = self.parser

    @property
    def in_progress(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self.collector.in_progress

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller waits for leave to send a body."""
        return (
            self.collector.in_progress
            and self.collector.headers_complete
            and not self.collector.body_chunks
            and any(
                name.lower() == "expect" and value.lower() == "100-continue"
                for name, value in self.collector.headers
            )
        )

    def feed(self, data: bytes) -> list[Message]:
        """Returns the requests that these bytes complete.

        Raises:
            MessageError: They are no request, or one that is too large.
        """
        _feed(self.parser, self.collector, data)
        completed, self.collector.completed = self.collector.completed, []
        return completed


class _AnswerCollector(_Collector):
    parser: httptools.HttpResponseParser

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            # An interim answer; the final one follows.
            self.in_progress = False
            return
        self.complete("", status, self.parser.should_keep_alive())


class AnswerReader:
    """Turns the bytes of an upstream's connection into answers."""

    def __init__(self, max_body_bytes: int) -> None:
        self.collector = _AnswerCollector(max_body_bytes, max_body_bytes)
        self.parser = httptools.HttpResponseParser(self.collector)
        self.collector.parser = self.parser

    @property
    def in_progress(self) -> bool:
        """Whether an answer has begun and is not complete."""
        return self.collector.in_progress

    def feed(self, data: bytes) -> list[Message]:
        """Returns the answers that these bytes complete.

        Raises:
            MessageError: They are no answer.
        """
        _feed(self.parser, self.collector, data)
        completed, self.collector.completed = self.collector.completed, []
        return completed

    def feed_eof(self) -> Message | None:
        """Returns the answer that only the end of its connection completes."""
        if not (self.collector.in_progress and self.collector.headers_complete):
            return None
        names = {name.lower() for name, _ in self.collector.headers}
        if names & {"content-length", "transfer-encoding"}:
            return None
        self.collector.complete("", self.parser.get_status_code(), False)
        return self.collector.completed.pop()


def _feed(
    parser: httptools.HttpRequestParser | httptools.HttpResponseParser,
    collector: _Collector,
    data: bytes,
) -> None:
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade as error:
        raise MessageError(400, "no other protocol is spoken") from error
    except httptools.HttpParserError as error:
        if collector.error is not None:
            raise collector.error from error
        raise MessageError(400, str(error)) from error


def encode_request(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
) -> bytes:
    """Returns the bytes of a request with its whole body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + body


def encode_answer(
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    close: bool,
    head_only: bool,
) -> bytes:
    """Returns the bytes of an answer with its whole body."""
    lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if status not in (204, 304):
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin1")
    return head if head_only else head + body


def reason_phrase(status: int) -> str:
    """Returns the reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        # A status that nobody registered has no reason phrase.
        return "Status"
