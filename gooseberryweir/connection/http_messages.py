"""Parsing and encoding of HTTP requests and answers.

httptools does the parsing. It continues after a complete message, so that
pipelined requests and surplus bytes after an answer are detected.
"""

from collections.abc import Iterable
import http
from typing import NamedTuple

import httptools

Headers = tuple[tuple[str, str], ...]

# Largest number of bytes that connections read and feed to a parser at a time.
MAX_FED_BYTES = 64 * 1024


class Message(NamedTuple):
    """A complete HTTP request or answer.

    Attributes:
        method: Method of a request; empty for an answer.
        target: Path and query of a request; empty for an answer.
        status: Status code of an answer; 0 for a request.
        headers: Header names and values as received.
        body: Complete body.
        keep_alive: True if the sender keeps the connection open.
    """

    method: str
    target: str
    status: int
    headers: Headers
    body: bytes
    keep_alive: bool


class MessageError(Exception):
    """The bytes received are not an HTTP message, or it is too large.

    Attributes:
        status: HTTP status code of the answer to a caller.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class _Collector:
    """Builds messages in its methods `on_...`, which the parser calls.

    Attributes:
        max_header_bytes: Limit on the size of the target and the headers.
        max_body_bytes: Limit on the size of the body.
        completed: Complete messages that `feed` has not returned yet.
        in_progress: True while a message has begun and is not complete.
        header_size: Bytes of target and headers so far.
        incomplete_size: Bytes fed since the headers began, until they are
            complete. The parser itself holds a line until it has all of it.
        body_size: Bytes of the body so far.
        headers_complete: True once all headers of the message were parsed.
        error: Error raised in a callback, or None; kept here, since httptools
            raises an error of its own in its place.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.completed: list[Message] = []
        self.in_progress = False
        self.reset()

    def reset(self) -> None:
        """Clears the state of the current message."""
        self.target = b""
        self.headers: list[tuple[str, str]] = []
        self.header_size = 0
        self.incomplete_size = 0
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
        """Adds to the header size and raises an error above the limit."""
        self.header_size += size
        if self.header_size > self.max_header_bytes:
            self.error = MessageError(431, "the headers are too large")
            raise self.error

    def check_incomplete_headers(self, size: int) -> None:
        """Raises an error if headers that are not complete are too large.

        Args:
            size: Bytes that were fed last.
        """
        if not self.in_progress or self.headers_complete:
            return
        self.incomplete_size += size
        # The bytes fed first may belong to an earlier message in part.
        if self.incomplete_size > self.max_header_bytes + MAX_FED_BYTES:
            raise MessageError(431, "the headers are too large")

    def on_headers_complete(self) -> None:
        self.headers_complete = True

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > self.max_body_bytes:
            self.error = MessageError(413, "the body is too large")
            raise self.error
        self.body_chunks.append(body)

    def complete(self, method: str, status: int, keep_alive: bool) -> None:
        """Builds the message and adds it to `completed`."""
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
        # The parser and its collector refer to each other, so the pieces would
        # stay until the next garbage collection.
        self.body_chunks = []
        self.in_progress = False


class _RequestCollector(_Collector):
    """Builds requests."""

    parser: httptools.HttpRequestParser

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode("latin1")
        self.complete(method, 0, self.parser.should_keep_alive())


class RequestReader:
    """Parses the requests on a caller's connection."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.collector = _RequestCollector(max_header_bytes, max_body_bytes)
        self.parser = httptools.HttpRequestParser(self.collector)
        self.collector.parser = self.parser

    @property
    def in_progress(self) -> bool:
        """True while a request has begun and is not complete."""
        return self.collector.in_progress

    @property
    def awaits_continue(self) -> bool:
        """True if the caller waits for status 100 before it sends a body."""
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
        """Parses received bytes and returns the requests completed by them.

        Raises:
            MessageError: The request is malformed or too large.
        """
        _feed(self.parser, self.collector, data)
        completed, self.collector.completed = self.collector.completed, []
        return completed


class _AnswerCollector(_Collector):
    """Builds answers."""

    parser: httptools.HttpResponseParser

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            # An interim answer (1xx); the final one follows.
            self.in_progress = False
            return
        self.complete("", status, self.parser.should_keep_alive())


class AnswerReader:
    """Parses the answers on a connection to an upstream."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.collector = _AnswerCollector(max_header_bytes, max_body_bytes)
        self.parser = httptools.HttpResponseParser(self.collector)
        self.collector.parser = self.parser

    @property
    def in_progress(self) -> bool:
        """True while an answer has begun and is not complete."""
        return self.collector.in_progress

    def feed(self, data: bytes) -> list[Message]:
        """Parses received bytes and returns the answers completed by them.

        Raises:
            MessageError: The answer is malformed or too large.
        """
        _feed(self.parser, self.collector, data)
        completed, self.collector.completed = self.collector.completed, []
        return completed

    def feed_eof(self) -> Message | None:
        """Handles the end of the connection, which may complete an answer.

        Returns:
            The answer, if it has no length and so ends with the connection;
            None if no answer has begun or the answer is truncated.
        """
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
    """Feeds bytes to a parser and translates its errors to `MessageError`."""
    try:
        parser.feed_data(data)
        collector.check_incomplete_headers(len(data))
    except httptools.HttpParserUpgrade as error:
        raise MessageError(
            400, "protocol upgrades are not supported"
        ) from error
    except httptools.HttpParserError as error:
        if collector.error is not None:
            raise collector.error from error
        raise MessageError(400, str(error)) from error


def encode_request(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
) -> bytes:
    """Returns the bytes of a request.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Header names and values, without Content-Length.
        body: Complete body.
    """
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
    """Returns the bytes of an answer.

    Args:
        status: HTTP status code.
        headers: Header names and values, without Content-Length.
        body: Complete body.
        close: True to tell the caller that the connection will be closed.
        head_only: True for an answer to HEAD, which has no body.
    """
    lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if status not in (204, 304):
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin1")
    return head if head_only else head + body


def reason_phrase(status: int) -> str:
    """Returns the reason phrase of a status code."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        # Unregistered status codes have no phrase.
        return "Status"
