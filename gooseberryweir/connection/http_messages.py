"""Parsing and encoding of HTTP requests and answers.

httptools does the parsing. It continues after a complete message, so that
pipelined requests and surplus bytes after an answer are detected.
"""

from collections.abc import Iterable
import http
import io
import re
import sys
from typing import NamedTuple

import httptools

Headers = tuple[tuple[str, str], ...]

# Largest number of bytes that connections read and feed to a parser at a time.
MAX_FED_BYTES = 64 * 1024
# Bytes of a head that do not count towards its limit, such as method, version
# and spaces.
MAX_UNCOUNTED_BYTES = 4096
# Chunks of a body that may have any size, and the least mean size in bytes of
# those beyond them: the work for a chunk does not depend on its size.
MAX_SMALL_CHUNKS = 4096
MIN_MEAN_CHUNK_BYTES = 16
# Limit on the bytes of all interim answers (1xx) before an answer, and what
# each counts in addition to its headers.
MAX_INTERIM_BYTES = 512 * 1024
INTERIM_LINE_BYTES = 32
# What a header of an answer counts at least: the work for it does not depend on
# its size.
MIN_ANSWER_HEADER_BYTES = 64
# Memory of a header in addition to its bytes.
HEADER_OVERHEAD_BYTES = 200
# Versions of HTTP and the greatest status that answers may have (RFC 9110, 15).
HTTP_VERSIONS = ("1.0", "1.1")
MAX_STATUS = 599
# What an answer begins with; the parser knows other protocols too.
PROTOCOL = b"HTTP/"
UPGRADE_ERROR = "protocol upgrades are not supported"
END_OF_HEAD = b"\r\n\r\n"
# Bytes that no line of a head may have (RFC 9110, 5.5).
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# Line before the content of a chunk, without an extension.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")


class Message(NamedTuple):
    """A complete HTTP request or answer.

    Attributes:
        method: Method of a request; empty for an answer.
        target: Path and query of a request; empty for an answer.
        status: Status code of an answer; 0 for a request.
        headers: Header names and values as received.
        body: Complete body.
        keep_alive: True if the sender keeps the connection open.
        head_size: Memory of the target and the headers, bytes.
    """

    method: str
    target: str
    status: int
    headers: Headers
    body: bytes
    keep_alive: bool
    head_size: int = 0


class MessageError(Exception):
    """The bytes received are not an HTTP message, or it is too large.

    Attributes:
        status: HTTP status code of the answer to a caller.
        completed: Complete messages before the error that `feed` has not
            returned.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.completed: list[Message] = []


class _Collector:
    """Builds messages in its methods `on_...`, which the parser calls.

    Attributes:
        max_header_bytes: Limit on the size of the target and the headers.
        max_body_bytes: Limit on the size of the body.
        max_incomplete_bytes: Limit on `incomplete_size`.
        min_header_bytes: Size that a header counts at least.
        completed: Complete messages that `feed` has not returned yet.
        in_progress: True while a message has begun and is not complete.
        header_size: Bytes of target, headers and extensions of chunks so far.
        incomplete_size: Bytes fed since the message began or since the last
            bytes of its body. The parser itself holds a line until it has all
            of it.
        body: The body so far. One buffer, since many small pieces would take
            far more memory than their content.
        body_size: Bytes of it.
        chunk_count: Chunks of the body so far.
        headers_complete: True once all headers of the message were parsed.
        error: Error raised in a callback, or None; kept here, since httptools
            raises an error of its own in its place.
    """

    min_header_bytes = 0

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        max_incomplete_bytes: int,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.max_incomplete_bytes = max_incomplete_bytes
        self.completed: list[Message] = []
        self.in_progress = False
        self.incomplete_size = 0
        self.reset()

    def reset(self) -> None:
        """Clears the state of the current message."""
        self.target = b""
        self.headers: list[tuple[str, str]] = []
        self.header_size = 0
        self.body = io.BytesIO()
        self.body_size = 0
        self.chunk_count = 0
        self.headers_complete = False
        self.error: MessageError | None = None

    def on_message_begin(self) -> None:
        self.reset()
        self.in_progress = True

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count_header_bytes(
            max(self.min_header_bytes, len(name) + len(value) + 4)
        )
        self.headers.append((name.decode("latin1"), value.decode("latin1")))

    @property
    def head_size(self) -> int:
        """Memory of the target and the headers so far, bytes."""
        return self.header_size + len(self.headers) * HEADER_OVERHEAD_BYTES

    def count_header_bytes(self, size: int) -> None:
        """Adds to the header size and raises an error above the limit."""
        self.header_size += size
        if self.header_size > self.max_header_bytes:
            self.error = MessageError(431, "the headers are too large")
            raise self.error

    def check_incomplete_size(self) -> None:
        """Raises an error if incomplete headers or trailers are too large."""
        if not self.in_progress:
            self.incomplete_size = 0
        elif self.incomplete_size > self.max_incomplete_bytes:
            raise MessageError(431, "the headers are too large")

    def on_headers_complete(self) -> None:
        self.headers_complete = True
        self.incomplete_size = 0

    def on_chunk_header(self) -> None:
        self.incomplete_size = 0
        self.chunk_count += 1
        allowed = MAX_SMALL_CHUNKS + self.body_size // MIN_MEAN_CHUNK_BYTES
        if self.chunk_count > allowed:
            self.error = MessageError(413, "the body has too many small chunks")
            raise self.error

    def on_chunk_complete(self) -> None:
        self.incomplete_size = 0

    def on_body(self, body: bytes) -> None:
        self.incomplete_size = 0
        self.body_size += len(body)
        if self.body_size > self.max_body_bytes:
            self.error = MessageError(413, "the body is too large")
            raise self.error
        self.body.write(body)

    def complete(self, method: str, status: int, keep_alive: bool) -> None:
        """Builds the message and adds it to `completed`."""
        self.completed.append(
            Message(
                method,
                self.target.decode("latin1"),
                status,
                tuple(self.headers),
                self.body.getvalue(),
                keep_alive,
                self.head_size,
            )
        )
        self.body = io.BytesIO()
        self.in_progress = False
        self.header_size = 0

    def discard(self) -> None:
        """Frees the memory of the messages that `feed` has not returned."""
        self.completed = []
        self.reset()

    def take_completed(self) -> list[Message]:
        """Removes and returns the complete messages."""
        completed, self.completed = self.completed, []
        return completed


class _RequestCollector(_Collector):
    """Builds requests.

    Attributes:
        body_length: Announced length of the body; None if it comes in chunks.
        chunk_begun: True after the size of a chunk was parsed, until it is
            taken into account.
    """

    parser: httptools.HttpRequestParser

    def reset(self) -> None:
        super().reset()
        self.body_length: int | None = None
        self.chunk_begun = False

    @property
    def in_body(self) -> bool:
        """True while the head is complete and the body is not."""
        return self.in_progress and self.headers_complete

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        lengths = [
            value
            for name, value in self.headers
            if name.lower() == "content-length"
        ]
        self.body_length = int(lengths[0]) if lengths else None

    def on_chunk_header(self) -> None:
        super().on_chunk_header()
        self.chunk_begun = True

    def on_message_complete(self) -> None:
        if self.parser.should_upgrade():
            self.error = MessageError(400, UPGRADE_ERROR)
            raise self.error
        method = self.parser.get_method().decode("latin1")
        self.complete(method, 0, self.parser.should_keep_alive())


class RequestReader:
    """Parses the requests on a caller's connection.

    What it returns does not depend on how the network cuts the bytes: the
    parser gets bytes of one message at a time, and one byte at a time where a
    limit on headers could be exceeded.

    Attributes:
        collector: Builds the requests.
        parser: Parser of the bytes.
        ended: True after a request that closes the connection, or an error;
            what follows is ignored.
        unread: Bytes behind the requests that `feed` returned, which the next
            call reads.
        last_bytes: Last bytes of the request in progress, which may be the
            beginning of `END_OF_HEAD`.
        chunk_line: Bytes of the current line between the chunks of a body.
        chunk_left: Bytes of the current chunk that are not received yet, with
            its line end.
        at_whole_chunks: True if the parser gets complete chunks next.
        last_chunk_begun: True after the line of the last chunk of a body.
        continue_settled: True once the body of the request in progress has
            begun, or its caller was told to send it if it asked.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.collector = _RequestCollector(
            max_header_bytes,
            max_body_bytes,
            max_header_bytes + MAX_UNCOUNTED_BYTES,
        )
        self.parser = httptools.HttpRequestParser(self.collector)
        self.collector.parser = self.parser
        self.ended = False
        self.unread = b""
        self.last_bytes = b""
        self.chunk_line = b""
        self.chunk_left = 0
        self.at_whole_chunks = False
        self.last_chunk_begun = False
        self.continue_settled = False

    @property
    def in_progress(self) -> bool:
        """True if a request has begun and was not returned."""
        return not self.ended and bool(
            self.unread or self.collector.in_progress
        )

    @property
    def body_bytes(self) -> int:
        """Size of the body in progress: announced, or of its chunks so far."""
        collector = self.collector
        if self.ended or not collector.in_body:
            return 0
        length = collector.body_length
        return collector.body_size if length is None else length

    @property
    def head_size(self) -> int:
        """Memory of the head of the request in progress so far, bytes."""
        collector = self.collector
        if self.ended or not collector.in_progress:
            return 0
        return collector.head_size

    def give_up(self) -> None:
        """Ignores the request in progress and what follows it."""
        self.ended = True
        self.unread = b""
        self.collector.discard()

    def take_continue(self) -> bool:
        """Returns True if a caller waits for status 100 to send its body.

        Only once for a request, and not if its body has begun.
        """
        collector = self.collector
        if self.ended or not collector.in_body or self.continue_settled:
            return False
        self.continue_settled = True
        return any(
            name.lower() == "expect" and value.lower() == "100-continue"
            for name, value in collector.headers
        )

    def feed(
        self, data: bytes, max_requests: int = sys.maxsize
    ) -> list[Message]:
        """Parses received bytes and returns the requests completed by them.

        Args:
            data: Received bytes.
            max_requests: Number of requests at which reading pauses; the bytes
                behind them are kept for the next call.

        Raises:
            MessageError: A request is malformed or too large; the error has
                the requests completed before it.
        """
        collector = self.collector
        data = self.unread + data
        self.unread = b""
        position = 0
        while (
            position < len(data)
            and not self.ended
            and len(collector.completed) < max_requests
        ):
            in_body = self.continue_settled = collector.in_body
            end = self._piece_end(data, position)
            piece = data[position:end]
            position = end
            try:
                _feed(self.parser, collector, piece)
                if in_body and collector.body_length is None:
                    self._count_chunk(piece)
            except MessageError as error:
                self.ended = True
                error.completed += collector.take_completed()
                collector.discard()
                raise
            if collector.in_progress:
                self.last_bytes = (self.last_bytes + piece[-3:])[-3:]
            elif collector.completed:
                self.ended = not collector.completed[-1].keep_alive
        if not self.ended:
            self.unread = data[position:]
        return collector.take_completed()

    def _piece_end(self, data: bytes, position: int) -> int:
        """Returns where the bytes end that the parser gets next.

        Args:
            data: Received bytes.
            position: Number of them that the parser has already.
        """
        collector = self.collector
        if not collector.in_progress:
            self.last_bytes = self.chunk_line = b""
            self.chunk_left = 0
            self.last_chunk_begun = False
            if data[position] in END_OF_HEAD:
                # Empty lines before a request don't belong to it.
                return len(data) - len(data[position:].lstrip(END_OF_HEAD))
        in_body = collector.in_body
        if in_body and collector.body_length is not None:
            return position + collector.body_length - collector.body_size
        if in_body and self.chunk_left:
            return position + self.chunk_left
        if in_body and not self.chunk_line and not self.last_chunk_begun:
            end = _whole_chunks_end(data, position)
            self.at_whole_chunks = end > position
            if self.at_whole_chunks:
                return end
        # A header has 4 bytes or more and may count as 5. Up to here, none can
        # exceed the limit.
        safe_size = (
            collector.max_header_bytes - collector.header_size
        ) * 4 // 5 - collector.incomplete_size
        if safe_size <= 1:
            return position + 1
        if in_body:
            end = data.find(b"\n", position) + 1 or len(data)
        else:
            end = self._head_end(data, position)
        return min(end, position + safe_size)

    def _count_chunk(self, piece: bytes) -> None:
        """Follows the chunks of a body; the parser alone decides what they are.

        Args:
            piece: Bytes that the parser got last.

        Raises:
            MessageError: The extensions of the chunks are too large.
        """
        collector = self.collector
        if self.at_whole_chunks:
            self.at_whole_chunks = collector.chunk_begun = False
            return
        if self.chunk_left:
            self.chunk_left -= len(piece)
            return
        self.chunk_line += piece
        if piece.endswith(b"\n"):
            if collector.chunk_begun:
                self.chunk_left = _chunk_size(self.chunk_line)
                self.last_chunk_begun = not self.chunk_left
                extension = self.chunk_line.partition(b";")[2]
                collector.count_header_bytes(len(extension))
            collector.chunk_begun = False
            self.chunk_line = b""

    def _head_end(self, data: bytes, position: int) -> int:
        """Returns the end of the current head, or of the data."""
        if self.last_bytes:
            known = len(self.last_bytes)
            overlap = self.last_bytes + data[position : position + 3]
            index = overlap.find(END_OF_HEAD)
            if index >= 0:
                return position + index + len(END_OF_HEAD) - known
        index = data.find(END_OF_HEAD, position)
        return index + len(END_OF_HEAD) if index >= 0 else len(data)


def _whole_chunks_end(data: bytes, position: int) -> int:
    """Returns the end of the complete chunks without extensions.

    The parser gets these at a time, since small ones would take long one by
    one.

    Args:
        data: Received bytes.
        position: Where the line of a chunk begins.
    """
    while line := _CHUNK_LINE.match(data, position):
        size = int(line[1], 16)
        end = line.end() + size + len(b"\r\n")
        if size == 0 or data[end - 2 : end] != b"\r\n":
            break
        position = end
    return position


def _chunk_size(line: bytes) -> int:
    """Returns the bytes of a chunk and its line end; 0 for the last chunk."""
    try:
        size = int(line.partition(b";")[0], 16)
    except ValueError:
        # The parser accepted what this does not know; its lines are read on.
        return 0
    return size + len(b"\r\n") if size > 0 else 0


class _AnswerCollector(_Collector):
    """Builds answers.

    Attributes:
        interim_bytes: Bytes of interim answers (1xx) since the last answer.
    """

    parser: httptools.HttpResponseParser
    min_header_bytes = MIN_ANSWER_HEADER_BYTES
    interim_bytes = 0

    def reject(self, reason: str) -> None:
        """Raises an error; the answer is not one of HTTP/1.1."""
        self.error = MessageError(502, reason)
        raise self.error

    def on_status(self, phrase: bytes) -> None:
        """Checks the reason phrase, or a piece of it."""
        if _CONTROL.search(phrase):
            self.reject("control byte in the status line")

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.headers_complete:
            super().on_header(name, value)
            return
        # Trailers are no headers: none of them may say how the answer is meant.
        self.count_header_bytes(
            max(self.min_header_bytes, len(name) + len(value) + 4)
        )

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        version = self.parser.get_http_version()
        if version not in HTTP_VERSIONS:
            self.reject(f"version {version} of HTTP")
        status = self.parser.get_status_code()
        if not 100 <= status <= MAX_STATUS:
            self.reject(f"status {status}")
        codings = [
            value.strip().lower()
            for name, value in self.headers
            if name.lower() == "transfer-encoding"
        ]
        if codings and (version != "1.1" or codings != ["chunked"]):
            self.reject(f"transfer coding {','.join(codings)!r}")

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            # The final answer follows.
            self.in_progress = False
            self.interim_bytes += self.header_size + INTERIM_LINE_BYTES
            if self.interim_bytes > MAX_INTERIM_BYTES:
                self.reject("too many interim answers")
            return
        self.interim_bytes = 0
        self.complete("", status, self.parser.should_keep_alive())


class AnswerReader:
    """Parses the answers on a connection to an upstream.

    Attributes:
        collector: Builds the answers.
        parser: Parser of the bytes.
        method: Method of the request.
        start: First bytes of the first answer, as many as `PROTOCOL` has.
    """

    def __init__(
        self, max_header_bytes: int, max_body_bytes: int, method: str
    ) -> None:
        # The bytes fed first may belong to an earlier answer in part.
        self.collector = _AnswerCollector(
            max_header_bytes, max_body_bytes, max_header_bytes + MAX_FED_BYTES
        )
        self.method = method
        self.start = b""
        self._reset_parser()

    def _reset_parser(self) -> None:
        """Begins to parse a new answer."""
        self.parser = httptools.HttpResponseParser(self.collector)
        self.collector.parser = self.parser

    @property
    def in_progress(self) -> bool:
        """True while an answer has begun and is not complete."""
        return self.collector.in_progress

    def close(self) -> None:
        """Frees the memory of all that was received."""
        self.collector.discard()

    def feed(self, data: bytes) -> list[Message]:
        """Parses received bytes and returns the answers completed by them.

        Raises:
            MessageError: An answer is malformed or too large; the error has
                the answers completed before it.
        """
        collector = self.collector
        self._check_protocol(data)
        if self.method != "HEAD":
            _feed(self.parser, collector, data)
            return collector.take_completed()
        if not collector.in_progress:
            # Empty lines before an answer don't belong to it.
            data = data.lstrip(END_OF_HEAD)
        # The parser knows statuses without a body, but not the method, so it
        # gets no bytes behind a head.
        for line in data.splitlines(keepends=True):
            _feed(self.parser, collector, line)
            if collector.in_progress and collector.headers_complete:
                collector.on_message_complete()
                self._reset_parser()
        return collector.take_completed()

    def _check_protocol(self, data: bytes) -> None:
        """Raises an error if the first answer is none of HTTP."""
        if len(self.start) == len(PROTOCOL):
            return
        start = (self.start + data).lstrip(END_OF_HEAD)[: len(PROTOCOL)]
        if not PROTOCOL.startswith(start):
            raise MessageError(502, "the answer is none of HTTP")
        self.start = start

    def feed_eof(self) -> Message | None:
        """Handles the end of the connection, which may complete an answer.

        Returns:
            The answer, if it has no length and so ends with the connection;
            None if no answer has begun or the answer is truncated.
        """
        if not (self.collector.in_progress and self.collector.headers_complete):
            return None
        if _has_length(self.collector.headers):
            return None
        self.collector.complete("", self.parser.get_status_code(), False)
        return self.collector.completed.pop()


def _feed(
    parser: httptools.HttpRequestParser | httptools.HttpResponseParser,
    collector: _Collector,
    data: bytes,
) -> None:
    """Feeds bytes to a parser and translates its errors to `MessageError`."""
    collector.incomplete_size += len(data)
    try:
        parser.feed_data(data)
        collector.check_incomplete_size()
    except MessageError as error:
        error.completed = collector.take_completed()
        raise
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
        text = (
            UPGRADE_ERROR
            if isinstance(error, httptools.HttpParserUpgrade)
            else str(error)
        )
        message_error = collector.error or MessageError(400, text)
        message_error.completed = collector.take_completed()
        raise message_error from error


def may_have_body(method: str, status: int) -> bool:
    """Returns True if an answer may have a body (RFC 9112, 6.3).

    Args:
        method: Method of the request, other than CONNECT.
        status: HTTP status code of the answer.
    """
    return method != "HEAD" and status >= 200 and status not in (204, 304)


def _has_length(headers: Iterable[tuple[str, str]]) -> bool:
    """Returns True if headers say where the body of an answer ends."""
    names = {name.lower() for name, _ in headers}
    return bool(names & {"content-length", "transfer-encoding"})


def ends_with_connection(method: str, answer: Message) -> bool:
    """Returns True if a complete answer ended with its connection.

    Args:
        method: Method of the request.
        answer: The answer.
    """
    return may_have_body(method, answer.status) and not _has_length(
        answer.headers
    )


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
    length_known: bool = True,
) -> bytes:
    """Returns the bytes of an answer.

    Args:
        status: HTTP status code.
        headers: Header names and values, without Content-Length if it is known.
        body: Complete body.
        close: True to tell the caller that the connection will be closed.
        head_only: True for an answer to HEAD, which has no body.
        length_known: True if Content-Length is the size of the body.
    """
    lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length_known and may_have_body("", status):
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
