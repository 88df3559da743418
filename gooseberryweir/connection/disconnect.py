"""Notices that a caller has gone while its request is being served."""

import socket
from typing import Any

import eventlet
from eventlet import greenthread
from eventlet import hubs
import greenlet


class CallerGoneError(Exception):
    """The caller closed its connection before its answer was complete."""


class CallerWatch:
    """Raises `CallerGoneError` in the task that made it once the caller goes.

    Attributes:
        caller: The caller's green socket.
        task: The task in which to raise.
        active: Whether the watch has not ended.
    """

    def __init__(self, caller: Any) -> None:
        self.caller = caller
        self.task = greenlet.getcurrent()
        self.active = True
        self.watcher: greenthread.GreenThread | None = None

    def __enter__(self) -> "CallerWatch":
        return self

    def __exit__(self, *_: object) -> None:
        self.active = False
        if self.watcher is not None:
            self.watcher.kill()

    def begin(self) -> None:
        """Begins to watch.

        Call it only once the request body has been read: until then the
        request's own task reads the socket.
        """
        if self.active and self.watcher is None:
            self.watcher = eventlet.spawn(self.watch)

    def watch(self) -> None:
        """Waits until the caller sends something or goes."""
        try:
            peeked = self.caller.recv(1, socket.MSG_PEEK)
        except OSError:
            peeked = b""
        if not peeked:
            hubs.get_hub().schedule_call_global(0, self.raise_gone)

    def raise_gone(self) -> None:
        """Ends the task's work, unless it has ended."""
        if self.active:
            self.task.throw(CallerGoneError())
