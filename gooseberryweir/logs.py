"""Logs events as lines of key=value pairs.

The rate of lines is limited for each event name; the next line that is written
contains the number of lines omitted before it.
"""

import json
import logging
import os
import sys
from typing import Any

from eventlet import patcher

from gooseberryweir import clock as clocks

# The patched `os.write` waits while a pipe is full or its reader is gone.
_unpatched_os = patcher.original("os")

# Rate limit on the lines of one event name.
MAX_LINES_PER_SECOND = 200.0
MAX_BURST_LINES = 400.0
# Characters that a value may contain without being quoted.
_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-./:,+%<>"
)


def format_value(value: Any) -> str:
    """Formats the value of a key=value pair.

    A value with spaces or other special characters is quoted, so that a line
    can be split into pairs at the spaces outside quotes.
    """
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return (
        text
        if text and _UNQUOTED_CHARACTERS.issuperset(text)
        else json.dumps(text)
    )


class Event:
    """An event whose log line is formatted only when it is written.

    Attributes:
        name: Name of the event.
        pairs: Values by key.
    """

    def __init__(self, name: str, pairs: dict[str, Any]) -> None:
        self.name = name
        self.pairs = pairs

    def __str__(self) -> str:
        pairs = [
            f"{key}={format_value(value)}" for key, value in self.pairs.items()
        ]
        return " ".join([f"event={self.name}", *pairs])


def event(
    logger: logging.Logger, name: str, level: int = logging.INFO, **pairs: Any
) -> None:
    """Logs an event as one line, formatted only if the line is written."""
    if logger.isEnabledFor(level):
        logger.log(level, "%s", Event(name, pairs))


class EventRateLimit(logging.Filter):
    """Limits the rate of log lines by a token bucket for each event name.

    Lines of a level above INFO are never limited.

    Attributes:
        clock: Source of time.
        buckets: Bucket of each event name: tokens, time of the last update and
            number of lines omitted since the last one written.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        super().__init__()
        self.clock = clock
        self.buckets: dict[str, tuple[float, float, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns False if the line exceeds the limit of its event name."""
        logged_event = (
            record.args[0] if isinstance(record.args, tuple) else None
        )
        if not isinstance(logged_event, Event) or record.levelno > logging.INFO:
            return True
        now = self.clock.monotonic()
        tokens, updated_at, omitted = self.buckets.get(
            logged_event.name, (MAX_BURST_LINES, now, 0)
        )
        tokens = min(
            MAX_BURST_LINES, tokens + (now - updated_at) * MAX_LINES_PER_SECOND
        )
        if tokens < 1.0:
            self.buckets[logged_event.name] = (tokens, now, omitted + 1)
            return False
        if omitted:
            logged_event.pairs["omitted"] = omitted
        self.buckets[logged_event.name] = (tokens - 1.0, now, 0)
        return True


def configure(level: str, host: str, clock: clocks.Clock) -> None:
    """Configures the package's logger to write to standard error.

    Args:
        level: Lowest level that is logged, in upper or lower case.
        host: Name of this host, included in every line.
        clock: Source of time for the rate limit.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(EventRateLimit(clock))
    handler.setFormatter(
        logging.Formatter(
            f"%(asctime)s level=%(levelname)s host={host} %(message)s"
        )
    )
    package_logger = logging.getLogger("gooseberryweir")
    package_logger.handlers[:] = [handler]
    package_logger.setLevel(level.upper())
    package_logger.propagate = False


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor and omits those that would block.

    Attributes:
        descriptor: The file descriptor, set to non-blocking mode.
        omitted: Number of lines omitted since the last one that was written.
        unwritten: Bytes of a partly written line that are still to be written.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.omitted = 0
        self.unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or counts it as omitted if that would block."""
        text = self.format(record)
        if self.omitted:
            text += f" lines_omitted={self.omitted}"
        line = self.unwritten + (text + "\n").encode()
        try:
            written = _unpatched_os.write(self.descriptor, line)
        except OSError:
            # The reader is slow or has closed the pipe; waiting would delay
            # requests.
            self.omitted += 1
            return
        self.omitted = 0
        # The rest of a partly written line is written before the next line.
        self.unwritten = line[written:]


def configure_stdout(level: str, host: str, clock: clocks.Clock) -> None:
    """Configures the package's logger to write to standard output.

    Writing never blocks; lines that would block are omitted.

    Args:
        level: Lowest level that is logged, in upper or lower case.
        host: Name of this host, included in every line.
        clock: Source of time for the rate limit.
    """
    configure(level, host, clock)
    package_logger = logging.getLogger("gooseberryweir")
    handler = NonBlockingHandler(sys.stdout.fileno())
    for stderr_handler in package_logger.handlers:
        handler.setFormatter(stderr_handler.formatter)
    handler.addFilter(EventRateLimit(clock))
    package_logger.handlers[:] = [handler]
