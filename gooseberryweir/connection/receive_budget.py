"""Limits the memory of answers that are being received from upstreams.

A faulty upstream may send bytes without end. One answer is limited by itself;
all answers together share a budget. If it is exceeded, the largest answer is
given up, so that requests with small answers are not affected.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

# Limit on the bytes of one answer, and on its headers alone.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_ANSWER_HEADER_BYTES = 64 * 1024
# Limit on the bytes of all answers that are being received. The smallest hosts
# have 200 MB, and joining the pieces of an answer needs its size once more.
MAX_RECEIVING_BYTES = 48 * 1024 * 1024


class TooManyBytesError(Exception):
    """An answer is too large, or was given up as the largest of all."""


class Reception:
    """An answer that is being received.

    Attributes:
        size: Bytes received so far.
        abort: Ends the connection.
        aborted: True once the answer was given up.
    """

    def __init__(self, abort: Callable[[], None]) -> None:
        self.size = 0
        self.abort = abort
        self.aborted = False


class ReceiveBudget:
    """The bytes of all answers that are being received.

    Attributes:
        receptions: These answers.
        total: Sum of their sizes, in bytes.
        max_answer_bytes: Limit on the bytes of one answer.
        max_total_bytes: Limit on the bytes of all of them.
    """

    def __init__(
        self,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_total_bytes: int = MAX_RECEIVING_BYTES,
    ) -> None:
        self.receptions: set[Reception] = set()
        self.total = 0
        self.max_answer_bytes = max_answer_bytes
        self.max_total_bytes = max_total_bytes

    @contextlib.contextmanager
    def open(self, abort: Callable[[], None]) -> Iterator[Reception]:
        """Yields a reception, whose bytes count until the context ends.

        Args:
            abort: Ends the connection of the answer.
        """
        reception = Reception(abort)
        self.receptions.add(reception)
        try:
            yield reception
        finally:
            self.receptions.discard(reception)
            self.total -= reception.size

    def add(self, reception: Reception, size: int) -> None:
        """Counts received bytes.

        Raises:
            TooManyBytesError: The answer is too large or was given up.
        """
        if reception.aborted:
            raise TooManyBytesError(
                "the answer was given up: too many bytes are being received"
            )
        reception.size += size
        self.total += size
        if reception.size > self.max_answer_bytes:
            raise TooManyBytesError(
                f"the answer has more than {self.max_answer_bytes} bytes"
            )
        while self.total > self.max_total_bytes:
            largest = max(self.receptions, key=lambda each: each.size)
            if largest is reception:
                raise TooManyBytesError(
                    f"{self.total} bytes are being received, "
                    f"{reception.size} of them for this answer"
                )
            largest.aborted = True
            self.total -= largest.size
            largest.size = 0
            largest.abort()
