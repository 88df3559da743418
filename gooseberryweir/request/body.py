"""Reading request bodies: whole within a budget, or piece by piece."""

from collections.abc import Iterator
import contextlib
from typing import Any
from typing import NamedTuple

from eventlet import wsgi

from gooseberryweir import codes
from gooseberryweir.request import incoming

PIECE_BYTES = 64 * 1024


class BodyCutError(Exception):
    """The caller's body ended early or was malformed."""


class BodyTooLargeError(Exception):
    """The caller's body is larger than the host accepts."""


class BodyBudget:
    """Bounds the bytes of all bodies that the process holds in memory."""

    def __init__(self, total_bytes: int) -> None:
        self.left_bytes = total_bytes

    @contextlib.contextmanager
    def reserve(self, size: int) -> Iterator[bool]:
        """Reserves bytes for a body; yields False if none are left."""
        if size > self.left_bytes:
            yield False
            return
        self.left_bytes -= size
        try:
            yield True
        finally:
            self.left_bytes += size


def pieces(request: incoming.Incoming, limit: int) -> Iterator[bytes]:
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
        piece = _read(request.body)
        if not piece:
            break
        total += len(piece)
        if total > limit:
            raise BodyTooLargeError
        yield piece
    if request.content_length is not None and total < request.content_length:
        raise BodyCutError


def _read(stream: Any) -> bytes:
    try:
        return stream.read(PIECE_BYTES)
    except (wsgi.ChunkReadError, OSError) as error:
        raise BodyCutError from error


class Begun(NamedTuple):
    """A body of which the beginning was read.

    Attributes:
        held: What was read.
        rest: What follows, or None if that was all.
    """

    held: bytes
    rest: Iterator[bytes] | None


def begin(request: incoming.Incoming, limit: int, most: int) -> Begun:
    """Reads a body whole if it has at most some bytes, else its beginning.

    Args:
        request: The request.
        limit: Bytes beyond which the body is refused.
        most: Bytes up to which it is read whole.

    Raises:
        BodyCutError: The body ended early or was malformed.
        BodyTooLargeError: The body is over the limit.
    """
    rest = pieces(request, limit)
    held: list[bytes] = []
    size = 0
    for piece in rest:
        held.append(piece)
        size += len(piece)
        if size > most:
            return Begun(b"".join(held), rest)
    return Begun(b"".join(held), None)


def whole(request: incoming.Incoming, limit: int) -> bytes | codes.Refusal:
    """Returns the whole body, or the refusal of one that can't be read."""
    try:
        return b"".join(pieces(request, limit))
    except BodyCutError:
        return codes.refuse(codes.Code.BAD_LENGTH)
    except BodyTooLargeError:
        return codes.refuse(codes.Code.BODY_TOO_LARGE)
