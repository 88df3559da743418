"""The requests that a host runs, and their end when the process exits."""

from collections.abc import Iterator
import contextlib
from typing import Any

import eventlet


class GivenUpError(Exception):
    """The process exits before the request has an answer."""


class RunningRequests:
    """Requests that were admitted and have no answer yet.

    Attributes:
        tasks: Tasks that handle these requests.
    """

    def __init__(self) -> None:
        self.tasks: set[Any] = set()

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts the request of the current task until the context ends.

        Raises:
            GivenUpError: The request was given up meanwhile.
        """
        task = eventlet.getcurrent()
        self.tasks.add(task)
        try:
            yield
        finally:
            self.tasks.discard(task)

    def give_up(self) -> None:
        """Raises `GivenUpError` in the task of each request.

        A request that its upstream outlasts would otherwise hold back the
        answers behind it on its connection until the process exits.
        """
        for task in list(self.tasks):
            # Other tasks run between two calls of `kill`.
            if task in self.tasks:
                eventlet.kill(task, GivenUpError())
