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
        caller_socket: The caller's green socket.
        task: The task in which to raise.
        active: Whether the watch has not ended.
    """

    def __init__(self, caller_socket: Any) -> None:
        self.caller_socket = caller_socket
        self.task = greenlet.getcurrent()
        self.active = True
        self.watch_task: greenthread.GreenThread | None = None

    def __enter__(self) -> "CallerWatch":
        return self

    def __exit__(self, *_: object) -> None:
        self.active = False
        if self.watch_task is not None:
            self.watch_task.kill()

    def start(self) -> None:
        """Begins to watch.

        Call it only once the request body has been read: until then the
        request's own task reads the socket.
        """
        if self.active and self.watch_task is None:
            self.watch_task = eventlet.spawn(self.wait_for_disconnect)

    def wait_for_disconnect(self) -> None:
        """Waits until the caller sends something or goes."""
        try:
            data = self.caller_socket.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b""
        if not data:
            hubs.get_hub().schedule_call_global(0, self.raise_in_task)

    def raise_in_task(self) -> None:
        """Ends the task's work, unless it has ended."""
        if self.active:
            self.task.throw(CallerGoneError())
