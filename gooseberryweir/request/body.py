"""Reading request bodies: whole within a budget, or piece by piece."""

from collections.abc import Iterator
import contextlib
from typing import Any
from typing import NamedTuple

from eventlet import wsgi

from gooseberryweir import codes
from gooseberryweir.request import incoming

READ_BYTES = 64 * 1024


class BodyCutError(Exception):
    """The caller's body ended early or was malformed."""


class BodyTooLargeError(Exception):
    """The caller's body is larger than the host accepts."""


class BodyBudget:
    """Bounds the bytes of all bodies that the process holds in memory."""

    def __init__(self, total_bytes: int) -> None:
        self.available_bytes = total_bytes

    @contextlib.contextmanager
    def reserve(self, size: int) -> Iterator[bool]:
        """Reserves bytes for a body; yields False if none are left."""
        if size > self.available_bytes:
            yield False
            return
        self.available_bytes -= size
        try:
            yield True
        finally:
            self.available_bytes += size


def read_pieces(
    request: incoming.IncomingRequest, limit: int
) -> Iterator[bytes]:
    """Yields the body of a request piece by piece.

    Args:
        request: The request.
        limit: Bytes beyond which the body is refused.

    Raises:
        BodyCutError: The body ended early or was malformed.
        BodyTooLargeError: The body is over the limit.
    """
    total = 0
    while True:
        piece = _read_piece(request.body_stream)
        if not piece:
            break
        total += len(piece)
        if total > limit:
            raise BodyTooLargeError
        yield piece
    if request.content_length is not None and total < request.content_length:
        raise BodyCutError


def _read_piece(stream: Any) -> bytes:
    try:
        return stream.read(READ_BYTES)
    except (wsgi.ChunkReadError, OSError) as error:
        raise BodyCutError from error


class BodyStart(NamedTuple):
    """A body of which the beginning was read.

    Attributes:
        data: What was read.
        remainder: What follows, or None if that was all.
    """

    data: bytes
    remainder: Iterator[bytes] | None


def read_start(
    request: incoming.IncomingRequest, limit: int, buffer_limit: int
) -> BodyStart:
    """Reads a body whole if it has at most some bytes, else its beginning.

    Args:
        request: The request.
        limit: Bytes beyond which the body is refused.
        buffer_limit: Bytes up to which it is read whole.

    Raises:
        BodyCutError: The body ended early or was malformed.
        BodyTooLargeError: The body is over the limit.
    """
    remainder = read_pieces(request, limit)
    buffered: list[bytes] = []
    size = 0
    for piece in remainder:
        buffered.append(piece)
        size += len(piece)
        if size > buffer_limit:
            return BodyStart(b"".join(buffered), remainder)
    return BodyStart(b"".join(buffered), None)


def read_whole(
    request: incoming.IncomingRequest, limit: int
) -> bytes | codes.Refusal:
    """Returns the whole body, or the refusal of one that can't be read."""
    try:
        return b"".join(read_pieces(request, limit))
    except BodyCutError:
        return codes.refuse(codes.Code.BAD_LENGTH)
    except BodyTooLargeError:
        return codes.refuse(codes.Code.BODY_TOO_LARGE)
