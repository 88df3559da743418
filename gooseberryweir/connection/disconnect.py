"""Notices that a caller has gone while its request is being served."""

from collections.abc import Iterator
import contextlib
import socket
from typing import Any

import eventlet
from eventlet import hubs
import greenlet


class CallerGoneError(Exception):
    """The caller closed its connection before its answer was complete."""


@contextlib.contextmanager
def cancel_on_disconnect(caller: Any) -> Iterator[None]:
    """Raises `CallerGoneError` in the current task when the caller goes.

    Use only once the request body has been read: until then another task
    reads the socket.

    Args:
        caller: The caller's green socket.
    """
    task = greenlet.getcurrent()

    def watch() -> None:
        try:
            peeked = caller.recv(1, socket.MSG_PEEK)
        except OSError:
            peeked = b""
        if not peeked:
            hubs.get_hub().schedule_call_global(0, raise_gone)

    active = True

    def raise_gone() -> None:
        if active:
            task.throw(CallerGoneError())

    watcher = eventlet.spawn(watch)
    try:
        yield
    finally:
        active = False
        watcher.kill()
