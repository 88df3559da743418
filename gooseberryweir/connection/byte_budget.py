"""Limits the memory of answers and of requests.

A faulty upstream may send bytes without end, and a caller may not read what it
asked for. Each connection is limited by itself; all of them share a budget. If
it is exceeded, the connection with most bytes is given up, so that those with
small answers are not affected.

Bodies of callers' requests are different: their sizes are mostly announced, and
a request that was not read may be refused, so there is room for a body or its
request is refused.
"""

from collections.abc import Callable

# Limit on the bytes of one answer, and on its headers alone.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_ANSWER_HEADER_BYTES = 64 * 1024
# Limit on the bytes of all answers that are being received. The smallest hosts
# have 200 MB, and joining the pieces of an answer needs its size once more.
MAX_RECEIVING_BYTES = 48 * 1024 * 1024
# Limit on the bytes of all answers that the kernel has not taken from a process
# yet, since their callers do not read or wait for earlier answers.
MAX_SENDING_BYTES = 48 * 1024 * 1024
# Limit on the bytes of all requests that callers are sending or that are open:
# of their bodies, and of heads that are larger than usual.
MAX_REQUEST_BYTES = 48 * 1024 * 1024


class TooManyBytesError(Exception):
    """A connection has too many bytes, or was given up for having most."""


class Share:
    """The bytes of one connection; a context manager, in which they count.

    Attributes:
        budget: Budget of all connections.
        size: Bytes counted.
        abort: Ends the connection.
        aborted: True once the connection was given up.
    """

    def __init__(self, budget: "ByteBudget", abort: Callable[[], None]) -> None:
        self.budget = budget
        self.size = 0
        self.abort = abort
        self.aborted = False

    def __enter__(self) -> "Share":
        self.budget.shares.add(self)
        return self

    def __exit__(self, *_: object) -> None:
        self.budget.shares.discard(self)
        self.budget.total -= self.size


class ByteBudget:
    """The bytes of all connections.

    Attributes:
        shares: The connections.
        total: Sum of their sizes, in bytes.
        max_share_bytes: Limit on the bytes of one connection.
        max_total_bytes: Limit on the bytes of all of them.
    """

    def __init__(self, max_share_bytes: int, max_total_bytes: int) -> None:
        self.shares: set[Share] = set()
        self.total = 0
        self.max_share_bytes = max_share_bytes
        self.max_total_bytes = max_total_bytes

    def open(self, abort: Callable[[], None]) -> Share:
        """Returns a share, whose bytes count until its context ends.

        Args:
            abort: Ends the connection.
        """
        return Share(self, abort)

    def add(self, share: Share, size: int) -> None:
        """Counts bytes.

        Raises:
            TooManyBytesError: The connection has too many, or was given up.
        """
        if share.aborted:
            raise TooManyBytesError(
                "the connection was given up: too many bytes"
            )
        share.size += size
        self.total += size
        if share.size > self.max_share_bytes:
            raise TooManyBytesError(
                f"the connection has more than {self.max_share_bytes} bytes"
            )
        while self.total > self.max_total_bytes:
            largest = max(self.shares, key=lambda each: each.size)
            if largest is share:
                raise TooManyBytesError(
                    f"{self.total} bytes in all, {share.size} of them of this "
                    "connection"
                )
            largest.aborted = True
            self.total -= largest.size
            largest.size = 0
            largest.abort()

    def remove(self, share: Share, size: int) -> None:
        """Counts bytes no more; without effect once the share was given up."""
        if not share.aborted:
            share.size -= size
            self.total -= size


class RequestBudget:
    """The bytes of requests.

    Attributes:
        total: Bytes reserved.
        max_total_bytes: Limit on them.
    """

    def __init__(self, max_total_bytes: int = MAX_REQUEST_BYTES) -> None:
        self.total = 0
        self.max_total_bytes = max_total_bytes

    def reserve(self, size: int) -> bool:
        """Reserves bytes; returns False if there is no room."""
        if self.total + size > self.max_total_bytes:
            return False
        self.total += size
        return True

    def release(self, size: int) -> None:
        """Frees reserved bytes."""
        self.total -= size


def receiving_budget() -> ByteBudget:
    """Returns a budget of answers that are being received from upstreams."""
    return ByteBudget(MAX_ANSWER_BYTES, MAX_RECEIVING_BYTES)


def sending_budget() -> ByteBudget:
    """Returns a budget of answers that wait to be sent to callers."""
    return ByteBudget(MAX_SENDING_BYTES, MAX_SENDING_BYTES)
