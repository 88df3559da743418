"""Copies of the package with one rule broken, which a soak has to find."""

from collections.abc import Iterator
import contextlib
import pathlib
import shutil
import tempfile
from typing import NamedTuple

from test import _common

PACKAGE = "gooseberryweir"


class Edit(NamedTuple):
    """A replacement of text in a file of the package.

    Attributes:
        path: Path of the file in the package.
        old: Text that is replaced wherever it is.
        new: Text in its place.
    """

    path: str
    old: str
    new: str


class Break(NamedTuple):
    """What breaks a rule.

    Attributes:
        rule: Name of the rule.
        edits: Replacements that break it.
        only: The only kind of event with which it shows, or empty for all.
        shift_clocks: Whether it shows only while the time of day steps.
    """

    rule: str
    edits: tuple[Edit, ...]
    only: str = ""
    shift_clocks: bool = False


_STEERING = "request/steering/"
BREAKS = {
    "close-before-delivery": Break(
        "LOST",
        (
            Edit(
                "connection/pipelined_server.py",
                "                    self._close_after_answer()\n"
                "                    return",
                '                    self.close("idle")\n'
                "                    return",
            ),
        ),
    ),
    "repeat-all": Break(
        "TWICE",
        (
            Edit(
                _STEERING + "serving.py",
                "if not route.idempotent:\n                    break",
                "if False:\n                    break",
            ),
        ),
    ),
    "false-refusals": Break(
        "REFUSED",
        (
            Edit(
                _STEERING + "serving.py",
                "elif ran is codes.ExecutionState.NO:",
                "elif True:",
            ),
        ),
    ),
    "reset-ends-answer": Break(
        "MIXED",
        (
            Edit(
                "connection/upstream_pool.py",
                "            except BlockingIOError:\n"
                "                if self.unsent",
                "            except ConnectionResetError:\n"
                '                return b""\n'
                "            except BlockingIOError:\n"
                "                if self.unsent",
            ),
        ),
    ),
    "keys-to-upstreams": Break(
        "UNASKED",
        (Edit("platform/headers.py", '{"authorization", ', "{"),),
    ),
    "any-service": Break(
        "ROUTE",
        (
            Edit(
                _STEERING + "selection.py",
                "if each.service == service",
                "if each.service",
            ),
        ),
    ),
    "withdrawn-keys": Break(
        "CONFIG",
        (
            Edit(
                _STEERING + "admission.py",
                "configuration.account_by_key.get(key)",
                "next(iter(configuration.accounts))",
            ),
        ),
    ),
    "drains-ignored": Break(
        "DRAIN",
        (
            Edit(
                _STEERING + "selection.py", "and not each.draining", "and True"
            ),
        ),
    ),
    "evacuations-ignored": Break(
        "EVAC",
        (
            Edit(
                _STEERING + "selection.py",
                "and each.zone not in store_cache.evacuated_zones",
                "and True",
            ),
        ),
        "evacuate",
    ),
    "work-for-nobody": Break(
        "GONE",
        (
            Edit(
                "connection/pipelined_server.py",
                "            each.task.kill()\n",
                "            pass\n",
            ),
        ),
    ),
    "long-deadlines": Break(
        "BUDGET",
        (
            Edit(
                "platform/headers.py",
                "int(timeout_seconds * 1000)",
                "int(timeout_seconds * 100_000)",
            ),
        ),
    ),
    "no-reload-handler": Break(
        "END",
        (
            Edit(
                "front.py",
                "signal.signal(signal.SIGHUP, lambda *_:"
                " _reload(environ, lambda: settings))",
                "signal.signal(signal.SIGHUP, signal.SIG_DFL)",
            ),
        ),
    ),
    "no-body-limit": Break(
        "LIMIT",
        (
            Edit(
                "connection/byte_budget.py",
                "MAX_REQUEST_BYTES = 48 *",
                "MAX_REQUEST_BYTES = 4800 *",
            ),
        ),
        "crowd-uploads",
    ),
    "limits-ignored": Break(
        "LIMIT",
        (
            Edit(
                "platform/headers.py",
                "request_limit=_parse_request_limits(headers)",
                "request_limit=math.inf",
            ),
        ),
        "limit",
    ),
    "nothing-served": Break(
        "SERVED",
        (
            Edit(
                "platform/headers.py",
                'headers.append(("Expect-Instance", upstream))',
                'headers.append(("Expect-Instance", "other"))',
            ),
        ),
    ),
    "one-route-unserved": Break(
        "SERVED",
        (
            Edit(
                _STEERING + "admission.py",
                "        if route is None:",
                '        if route is None or path.startswith("/other/"):',
            ),
        ),
    ),
    "some-unanswered": Break(
        "SERVED",
        (
            Edit(
                _STEERING + "serving.py",
                "        return self._serve(message)\n",
                "        if self.dependencies.rng.random() < 1 / 333:\n"
                "            self.dependencies.clock.sleep(1000)\n"
                "        return self._serve(message)\n",
            ),
        ),
    ),
    "third-refused": Break(
        "SERVED",
        (
            Edit(
                _STEERING + "serving.py",
                "            if dependencies.selection.is_overloaded(",
                "            if dependencies.rng.random() < 1 / 3"
                " or dependencies.selection.is_overloaded(",
            ),
        ),
    ),
    "time-of-day": Break(
        "SERVED",
        (
            Edit(
                "clock.py",
                "lambda: time.clock_gettime(time.CLOCK_BOOTTIME)",
                "time.time",
            ),
        ),
        shift_clocks=True,
    ),
    "never-gives-way": Break(
        "SERVED",
        (
            Edit(
                "connection/upstream_pool.py",
                "            eventlet.sleep(0)\n",
                "            pass\n",
            ),
            Edit(
                "connection/http_messages.py",
                "MAX_SMALL_CHUNKS = 4096",
                "MAX_SMALL_CHUNKS = 10**9",
            ),
            Edit(
                "connection/http_messages.py",
                "MAX_INTERIM_BYTES = 512 * 1024",
                "MAX_INTERIM_BYTES = 10**12",
            ),
        ),
        "endless-answers",
    ),
}


@contextlib.contextmanager
def broken_copy(name: str) -> Iterator[pathlib.Path]:
    """Provides a directory with a copy of the package that breaks a rule.

    Raises:
        ValueError: The text that an edit replaces is not there any more.
    """
    with tempfile.TemporaryDirectory() as directory:
        root = pathlib.Path(directory)
        shutil.copytree(_common.ROOT / PACKAGE, root / PACKAGE)
        for edit in BREAKS[name].edits:
            path = root / PACKAGE / edit.path
            text = path.read_text()
            if edit.old not in text:
                raise ValueError(f"{name}: {edit.path} has changed")
            path.write_text(text.replace(edit.old, edit.new))
        yield root
