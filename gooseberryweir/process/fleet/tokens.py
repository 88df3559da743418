"""Requests tokens of client accounts from the relay that holds them.

A host that sees an account rarely has no use for a token bucket of its own: its
share of the rate is far below one request. The relay of a region holds the
tokens of such accounts for its region; the other hosts take them one by one.
"""

from collections.abc import Callable
import itertools
from typing import NamedTuple

import eventlet
from eventlet import event
import msgspec

# Timeout of a request for a token; the relay is in the same region.
TOKEN_TIMEOUT_SECONDS = 0.2


class TokenRequest(NamedTuple):
    """A request for one token.

    Attributes:
        number: Identifies the request at its sender.
        account: Name of the client account.
    """

    number: int
    account: str


class TokenReply(NamedTuple):
    """Answer to a request for a token.

    Attributes:
        number: Number of the request.
        wait_seconds: 0 if a token was granted, else the seconds until one will
            be available.
    """

    number: int
    wait_seconds: float


_Message = tuple[TokenRequest | None, TokenReply | None]


class TokenExchange:
    """Takes tokens from a relay, and grants them to other hosts.

    Attributes:
        source: Returns the name of the host from which this one takes tokens,
            or None if it knows none.
        host: Name of this host.
        grant: Takes a token of an account at this host; returns 0 or the
            seconds until one is available.
        send: Sends an encoded message to a host.
        numbers: Numbers of the requests.
        waiting: Events that deliver the replies, by number of the request.
    """

    def __init__(
        self,
        host: str,
        source: Callable[[], str | None],
        grant: Callable[[str], float],
        send: Callable[[str, bytes], None],
    ) -> None:
        self.host = host
        self.source = source
        self.grant = grant
        self.send = send
        self.numbers = itertools.count()
        self.waiting: dict[int, event.Event] = {}

    def take(self, account: str) -> float | None:
        """Takes a token of a client account.

        Returns:
            0 if a token was taken, else the seconds until one is available;
            None if no relay answered.
        """
        source = self.source()
        if source is None:
            return None
        if source == self.host:
            return self.grant(account)
        number = next(self.numbers)
        reply = self.waiting[number] = event.Event()
        try:
            request = TokenRequest(number, account)
            self.send(source, msgspec.msgpack.encode((request, None)))
            with eventlet.Timeout(TOKEN_TIMEOUT_SECONDS, False):
                wait_seconds: float = reply.wait()
                return wait_seconds
            return None
        finally:
            del self.waiting[number]

    def receive(self, sender: str, encoded: bytes) -> None:
        """Handles a message of another host.

        Raises:
            ValueError: The message is malformed.
        """
        request, reply = msgspec.msgpack.decode(encoded, type=_Message)
        if request is not None:
            granted = TokenReply(request.number, self.grant(request.account))
            self.send(sender, msgspec.msgpack.encode((None, granted)))
        # A late reply has no waiting request.
        if reply is not None and reply.number in self.waiting:
            waiting = self.waiting[reply.number]
            if not waiting.ready():
                waiting.send(reply.wait_seconds)
