"""Sending a request to the home of a share."""

from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import TypeVar

Reply = TypeVar("Reply")


class Peering(Protocol):
    """What is used of `peering.Peering`."""

    handlers: dict[type, Callable[[Any], Any]]

    def call(self, host: str, message: Any, timeout: float) -> Any:
        """Sends a message and returns the reply."""


def send(
    peering: Peering,
    errors: tuple[type[Exception], ...],
    host: str,
    request: Any,
    timeout: float,
    reply_type: type[Reply],
) -> Reply | None:
    """Sends a request and returns its reply, or None if there is no answer.

    Args:
        peering: The links to the peers.
        errors: What `peering.call` raises when a host did not answer.
        host: The home.
        request: The message.
        timeout: Seconds to wait at most.
        reply_type: Type of the reply.
    """
    try:
        reply = peering.call(host, request, timeout)
    except errors:
        return None
    return reply if isinstance(reply, reply_type) else None
