"""Sending a draw to the home of a share."""

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
    draw: Any,
    timeout: float,
    kind: type[Reply],
) -> Reply | None:
    """Sends a draw and returns its grant, or None if there is no answer.

    Args:
        peering: The links to the peers.
        errors: What `peering.call` raises when a host did not answer.
        host: The home.
        draw: The message.
        timeout: Seconds to wait at most.
        kind: Type of the grant.
    """
    try:
        reply = peering.call(host, draw, timeout)
    except errors:
        return None
    return reply if isinstance(reply, kind) else None
