"""Sends requests for tokens or slots to the home, the host granting them."""

from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import TypeVar

Reply = TypeVar("Reply")


class Peering(Protocol):
    """Interface of `peering.Peering` that token buckets and slots use.

    Attributes:
        handlers: Function that answers a message, by type of the message.
    """

    handlers: dict[type, Callable[[Any], Any]]

    def call(self, host: str, message: Any, timeout: float) -> Any:
        """Sends a message and returns the reply.

        Args:
            host: Name of the receiving host.
            message: The message.
            timeout: Longest wait for the reply, in seconds.
        """


def send(
    peering: Peering,
    errors: tuple[type[Exception], ...],
    host: str,
    request: Any,
    timeout: float,
    reply_type: type[Reply],
) -> Reply | None:
    """Sends a request and returns the grant, or None without a valid reply.

    Args:
        peering: Links to the peers.
        errors: Exceptions that `peering.call` raises if a host did not
            answer.
        host: Name of the home.
        request: The message.
        timeout: Longest wait for the reply, in seconds.
        reply_type: Expected type of the reply.
    """
    try:
        reply = peering.call(host, request, timeout)
    except errors:
        return None
    return reply if isinstance(reply, reply_type) else None
