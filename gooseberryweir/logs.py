"""Log lines of key=value pairs, one for each event.

Repeated events are limited; the next line let through says how many were
left out.
"""

import json
import logging
import os
import sys
from typing import Any

from gooseberryweir import clock as clocks

LINES_PER_SECOND = 200.0
LINES_BURST = 400.0
_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-./:,+%<>"
)


def quote(value: Any) -> str:
    """Renders a value so that a line splits on spaces."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return text if text and _PLAIN.issuperset(text) else json.dumps(text)


class Event:
    """A lazily rendered event: its name and its pairs."""

    def __init__(self, name: str, pairs: dict[str, Any]) -> None:
        self.name = name
        self.pairs = pairs

    def __str__(self) -> str:
        pairs = [f"{key}={quote(value)}" for key, value in self.pairs.items()]
        return " ".join([f"event={self.name}", *pairs])


def event(
    logger: logging.Logger, name: str, level: int = logging.INFO, **pairs: Any
) -> None:
    """Logs one event as one line, rendered only if the line is kept."""
    if logger.isEnabledFor(level):
        logger.log(level, "%s", Event(name, pairs))


class RepeatLimit(logging.Filter):
    """Lets a bounded number of lines a second through for each event."""

    def __init__(self, clock: clocks.Clock) -> None:
        super().__init__()
        self.clock = clock
        self.levels: dict[str, tuple[float, float, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Counts one line against its event; False leaves it out."""
        subject = record.args[0] if isinstance(record.args, tuple) else None
        if not isinstance(subject, Event) or record.levelno > logging.INFO:
            return True
        now = self.clock.monotonic()
        tokens, at, omitted = self.levels.get(
            subject.name, (LINES_BURST, now, 0)
        )
        tokens = min(LINES_BURST, tokens + (now - at) * LINES_PER_SECOND)
        if tokens < 1.0:
            self.levels[subject.name] = (tokens, now, omitted + 1)
            return False
        if omitted:
            subject.pairs["omitted"] = omitted
        self.levels[subject.name] = (tokens - 1.0, now, 0)
        return True


def configure(level: str, host: str, clock: clocks.Clock) -> None:
    """Sends all lines to standard error in one form."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RepeatLimit(clock))
    handler.setFormatter(
        logging.Formatter(
            f"%(asctime)s level=%(levelname)s host={host} %(message)s"
        )
    )
    root = logging.getLogger("gooseberryweir")
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor; leaves out those it has no room for.

    Attributes:
        descriptor: The descriptor, made non-blocking.
        omitted: Lines left out since the last one that was written.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.omitted = 0
        self.rest = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or counts it as left out."""
        text = self.format(record)
        if self.omitted:
            text += f" lines_omitted={self.omitted}"
        line = self.rest + (text + "\n").encode()
        try:
            written = os.write(self.descriptor, line)
        except OSError:
            # The reader is slow or gone; waiting would hold up requests.
            self.omitted += 1
            return
        self.omitted = 0
        # A line that was cut goes on before the next one.
        self.rest = line[written:]


def configure_stdout(level: str, host: str, clock: clocks.Clock) -> None:
    """Sends all lines to standard output without ever waiting for it."""
    configure(level, host, clock)
    root = logging.getLogger("gooseberryweir")
    handler = NonBlockingHandler(sys.stdout.fileno())
    for old in root.handlers:
        handler.setFormatter(old.formatter)
    handler.addFilter(RepeatLimit(clock))
    root.handlers[:] = [handler]
