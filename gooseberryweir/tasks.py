"""Tasks that run until the process ends or they are done."""

from collections.abc import Callable
import logging
import traceback
from typing import Any

import eventlet

from gooseberryweir import logs

LOGGER = logging.getLogger(__name__)

# Pause before a task is run again after an unforeseen exception.
RESTART_SECONDS = 0.5


def spawn(name: str, function: Callable[..., None], *args: Any) -> Any:
    """Starts a task; runs it again after an unforeseen exception.

    A task whose function returns is done.

    Args:
        name: Name of the task, for the log.
        function: Function of the task.
        *args: Arguments of the function.

    Returns:
        The green thread, whose `kill` ends the task.
    """
    return eventlet.spawn(run, name, function, *args)


def run(name: str, function: Callable[..., None], *args: Any) -> None:
    """Calls a function until it returns; logs unforeseen exceptions."""
    while True:
        try:
            function(*args)
            return
        except (Exception, eventlet.Timeout) as error:
            log_failure(name, error)
        eventlet.sleep(RESTART_SECONDS)


def log_failure(name: str, error: BaseException) -> None:
    """Logs an unforeseen exception with the line that raised it."""
    frames = traceback.extract_tb(error.__traceback__)
    last = frames[-1] if frames else None
    logs.event(
        LOGGER,
        "task-failed",
        logging.ERROR,
        task=name,
        error=repr(error),
        line=f"{last.filename}:{last.lineno}" if last else "",
    )
