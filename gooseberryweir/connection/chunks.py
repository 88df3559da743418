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
MAX_TRAILERS = 32
END_LINE = b"\r\n"
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(;[\t\x20-\x7e\x80-\xff]*)?\r\n\Z")


class ChunkLines:
    """The input of a chunked body, given to eventlet's reader.

    Attributes:
        source: The connection's input.
        on_fault: Called once the body is malformed; no further request may
            be read from the connection.
        left: Bytes of the current chunk that were not read yet.
        within: Whether a chunk's data, or its end, is to be read next.
        trailers: Trailer lines read so far, or -1 before the last chunk.
    """

    def __init__(self, source: Any, on_fault: Callable[[], None]) -> None:
        self.source = source
        self.on_fault = on_fault
        self.left = 0
        self.within = False
        self.trailers = -1

    def read(self, size: int) -> bytes:
        """Reads data of the current chunk; fewer bytes mean its end."""
        data: bytes = self.source.read(size)
        self.left -= len(data)
        if len(data) < size:
            self.on_fault()
        return data

    def readline(self) -> bytes:
        """Reads a chunk's size line, its end, or a trailer line.

        Raises:
            wsgi.ChunkReadError: The line is malformed.
        """
        line: bytes = self.source.readline(MAX_LINE_BYTES)
        if not self.accepts(line):
            self.on_fault()
            raise wsgi.ChunkReadError("malformed chunk")
        return line

    def accepts(self, line: bytes) -> bool:
        """Takes a line into account; False if it is malformed."""
        if self.within:
            self.within = False
            return self.left == 0 and line == END_LINE
        if self.trailers >= 0:
            self.trailers += 1
            ended = line.endswith(END_LINE)
            return ended and self.trailers <= MAX_TRAILERS
        found = SIZE_LINE.match(line)
        if found is None:
            return False
        self.left = int(found[1], 16)
        self.within = self.left > 0
        self.trailers = -1 if self.within else 0
        return True
