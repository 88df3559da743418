"""Detects that a caller disconnects while its request is being served."""

import socket
from typing import Any

import eventlet
from eventlet import greenthread
from eventlet import hubs
import greenlet


class CallerGoneError(Exception):
    """The caller closed its connection before its answer was complete."""


class CallerWatch:
    """Interrupts a task when the caller that it serves disconnects.

    Raises `CallerGoneError` in the task that created the watch. A context
    manager; the caller is watched from `start` until the context ends or the
    caller sends further data.

    Attributes:
        caller_socket: Green socket of the caller.
        task: Task in which the error is raised.
        active: True until the context ends.
        watch_task: Task that reads the socket, or None before `start`.
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
        """Starts to watch the caller.

        Must not be called before the request body has been read, since the
        task that serves the request reads the socket until then.
        """
        if self.active and self.watch_task is None:
            self.watch_task = eventlet.spawn(self.wait_for_disconnect)

    def wait_for_disconnect(self) -> None:
        """Waits until the caller sends data or disconnects.

        Data ends the watch; a disconnect interrupts the task.
        """
        try:
            data = self.caller_socket.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b""
        if not data:
            hubs.get_hub().schedule_call_global(0, self.raise_in_task)

    def raise_in_task(self) -> None:
        """Raises `CallerGoneError` in the task unless the context has ended."""
        if self.active:
            self.task.throw(CallerGoneError())
