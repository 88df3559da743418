"""Strict parsing of chunked request bodies, against request smuggling.

eventlet accepts a chunk size such as `-5`, `+5` or `0x5`, ignores bytes between
a chunk's data and the end of the line, and does not limit the length of a line.
With any of these, two servers may see different requests in the same bytes, so
such a body is refused as malformed.
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
    """Checks the input of a chunked body while eventlet reads it.

    Attributes:
        source: File object from which the connection is read.
        on_malformed: Called if the body is malformed; no further request may
            be read from the connection then.
        remaining: Bytes of the current chunk that are still to be read.
        in_chunk: True from a chunk's size line until the end of the chunk.
        trailer_lines: Trailer lines read so far; -1 before the last chunk.
    """

    def __init__(self, source: Any, on_malformed: Callable[[], None]) -> None:
        self.source = source
        self.on_malformed = on_malformed
        self.remaining = 0
        self.in_chunk = False
        self.trailer_lines = -1

    def read(self, size: int) -> bytes:
        """Reads data of the current chunk; fewer bytes if the body ends early.

        Args:
            size: Number of bytes to read, at most `remaining`.
        """
        data: bytes = self.source.read(size)
        self.remaining -= len(data)
        if len(data) < size:
            self.on_malformed()
        return data

    def readline(self) -> bytes:
        """Reads a chunk's size line, the end of a chunk, or a trailer line.

        Raises:
            wsgi.ChunkReadError: The line is malformed.
        """
        line: bytes = self.source.readline(MAX_LINE_BYTES)
        if not self.parse_line(line):
            self.on_malformed()
            raise wsgi.ChunkReadError("malformed chunk")
        return line

    def parse_line(self, line: bytes) -> bool:
        """Updates the state from a line; returns False if it is malformed."""
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
