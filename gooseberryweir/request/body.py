"""Reads request bodies, whole or in pieces, and limits their memory use."""

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
    """Limits the total size of the request bodies in memory.

    Attributes:
        available_bytes: Bytes that may still be reserved.
    """

    def __init__(self, total_bytes: int) -> None:
        self.available_bytes = total_bytes

    @contextlib.contextmanager
    def reserve(self, size: int) -> Iterator[bool]:
        """Reserves `size` bytes; yields False if fewer are available."""
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
    """Yields the body of a request in pieces.

    Args:
        request: Request whose body is read.
        limit: Largest accepted body, bytes.

    Raises:
        BodyCutError: The body ended early or was malformed.
        BodyTooLargeError: The body is larger than `limit`.
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
    """Reads the next piece of a body; empty at its end."""
    try:
        return stream.read(READ_BYTES)
    except (wsgi.ChunkReadError, OSError) as error:
        raise BodyCutError from error


class BodyStart(NamedTuple):
    """The start of a body, or all of a short one.

    Attributes:
        data: Bytes that were read.
        remainder: Following pieces, or None if `data` is the whole body.
    """

    data: bytes
    remainder: Iterator[bytes] | None


def read_start(
    request: incoming.IncomingRequest, limit: int, buffer_limit: int
) -> BodyStart:
    """Reads a body to its end, or until it exceeds `buffer_limit` bytes.

    Args:
        request: Request whose body is read.
        limit: Largest accepted body, bytes.
        buffer_limit: Largest body that is read whole, bytes.

    Raises:
        BodyCutError: The body ended early or was malformed.
        BodyTooLargeError: The body is larger than `limit`.
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
    """Returns the whole body, or a refusal if it is truncated or too large."""
    try:
        return b"".join(read_pieces(request, limit))
    except BodyCutError:
        return codes.refuse(codes.Code.BAD_LENGTH)
    except BodyTooLargeError:
        return codes.refuse(codes.Code.BODY_TOO_LARGE)
