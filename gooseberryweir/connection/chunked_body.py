"""Strict reading of the lines of a chunked request body.

eventlet takes a chunk size such as `-5`, `+5` or `0x5`, ignores what follows a
chunk's data up to the line's end, and bounds no line. Any of these lets two
servers see different requests, so they end the body here.
"""

from collections.abc import Callable
import re
from typing import Any

from eventlet import wsgi

MAX_LINE_BYTES = 1024
MAX_TRAILER_LINES = 32
CRLF = b"\r\n"
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(;[\t\x20-\x7e\x80-\xff]*)?\r\n\Z")


class ChunkedBodyReader:
    """The input of a chunked body, given to eventlet's reader.

    Attributes:
        source: The connection's input.
        on_malformed: Called once the body is malformed; no further request may
            be read from the connection.
        remaining: Bytes of the current chunk that were not read yet.
        in_chunk: Whether a chunk's data, or its end, is to be read next.
        trailer_lines: Trailer lines read so far, or -1 before the last chunk.
    """

    def __init__(self, source: Any, on_malformed: Callable[[], None]) -> None:
        self.source = source
        self.on_malformed = on_malformed
        self.remaining = 0
        self.in_chunk = False
        self.trailer_lines = -1

    def read(self, size: int) -> bytes:
        """Reads data of the current chunk; fewer bytes mean its end."""
        data: bytes = self.source.read(size)
        self.remaining -= len(data)
        if len(data) < size:
            self.on_malformed()
        return data

    def readline(self) -> bytes:
        """Reads a chunk's size line, its end, or a trailer line.

        Raises:
            wsgi.ChunkReadError: The line is malformed.
        """
        line: bytes = self.source.readline(MAX_LINE_BYTES)
        if not self.parse_line(line):
            self.on_malformed()
            raise wsgi.ChunkReadError("malformed chunk")
        return line

    def parse_line(self, line: bytes) -> bool:
        """Takes a line into account; False if it is malformed."""
        if self.in_chunk:
            self.in_chunk = False
            return self.remaining == 0 and line == CRLF
        if self.trailer_lines >= 0:
            self.trailer_lines += 1
            terminated = line.endswith(CRLF)
            return terminated and self.trailer_lines <= MAX_TRAILER_LINES
        match = SIZE_LINE.match(line)
        if match is None:
            return False
        self.remaining = int(match[1], 16)
        self.in_chunk = self.remaining > 0
        self.trailer_lines = -1 if self.in_chunk else 0
        return True
