"""Calls between hosts: requests with a reply, and notices without one.

They travel over the links that carry heartbeats. A call that finds no link to
the other host, or gets no reply in time, has no result.
"""

from collections.abc import Callable
import itertools
import logging
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import event
import msgspec

from gooseberryweir import logs

LOGGER = logging.getLogger(__name__)

# Number of a message that wants no reply.
_NOTICE = 0
# Largest number of calls of other hosts that are handled at a time; further
# ones are dropped, so that their callers time out.
MAX_HANDLED_CALLS = 256

Handler = Callable[[str, bytes], bytes]


class _Message(NamedTuple):
    """A call, a notice or a reply.

    Attributes:
        kind: Selects the handler; empty in a reply.
        number: Identifies the call at its sender; `_NOTICE` for a notice.
        content: Encoded content.
    """

    kind: str
    number: int
    content: bytes


class PeerCalls:
    """Calls other hosts, and handles their calls.

    Attributes:
        send: Sends an encoded message to a host; returns False if there is no
            link to it or it does not support calls.
        handlers: Functions that return the reply to a call, by kind. They get
            the name of the caller and the content, and may raise `ValueError`
            for malformed content. The reply to a notice is ignored.
        numbers: Numbers of the calls.
        waiting: Events that deliver the replies, by number and called host.
        handled_count: Number of calls that are being handled.
    """

    def __init__(self, send: Callable[[str, bytes], bool]) -> None:
        self.send = send
        self.handlers: dict[str, Handler] = {}
        self.numbers = itertools.count(_NOTICE + 1)
        self.waiting: dict[tuple[int, str], event.Event] = {}
        self.handled_count = 0

    def call(
        self, host: str, kind: str, content: bytes, timeout: float
    ) -> bytes | None:
        """Calls another host.

        Args:
            host: Name of the host.
            kind: Selects the handler there.
            content: Encoded content.
            timeout: Longest wait for the reply, in seconds.

        Returns:
            The content of the reply; None if there is no link or no reply.
        """
        number = next(self.numbers)
        reply = self.waiting[number, host] = event.Event()
        try:
            message = _Message(kind, number, content)
            if not self.send(host, msgspec.msgpack.encode(message)):
                return None
            with eventlet.Timeout(timeout, False):
                result: bytes = reply.wait()
                return result
            return None
        finally:
            del self.waiting[number, host]

    def notify(self, host: str, kind: str, content: bytes) -> None:
        """Sends a notice to another host; it is dropped if there is no link."""
        self.send(
            host, msgspec.msgpack.encode(_Message(kind, _NOTICE, content))
        )

    def receive(self, sender: str, encoded: bytes) -> None:
        """Handles a message of another host.

        Raises:
            ValueError: The message is malformed.
        """
        message = msgspec.msgpack.decode(encoded, type=_Message)
        if not message.kind:
            # A late reply has no waiting call.
            waiting = self.waiting.get((message.number, sender))
            if waiting is not None and not waiting.ready():
                waiting.send(message.content)
            return
        if self.handled_count >= MAX_HANDLED_CALLS:
            logs.event(
                LOGGER,
                "peer-call-dropped",
                logging.WARNING,
                peer=sender,
                kind=message.kind,
            )
            return
        self.handled_count += 1
        eventlet.spawn(self._handle, sender, message)

    def _handle(self, sender: str, message: _Message) -> None:
        """Handles a call or a notice; a handler may call other hosts."""
        try:
            handler = self.handlers.get(message.kind)
            if handler is None:
                raise ValueError("unknown kind of call")
            reply = handler(sender, message.content)
            if message.number != _NOTICE:
                answer = _Message("", message.number, reply)
                self.send(sender, msgspec.msgpack.encode(answer))
        except ValueError as error:
            logs.event(
                LOGGER,
                "peer-call-failed",
                logging.WARNING,
                peer=sender,
                kind=message.kind,
                reason=error,
            )
        finally:
            self.handled_count -= 1


def decode(content: bytes, kind: type[Any]) -> Any:
    """Decodes the content of a call or reply.

    Args:
        content: Encoded content.
        kind: Type of the content.

    Raises:
        ValueError: The content is malformed.
    """
    return msgspec.msgpack.decode(content, type=kind)
