"""The `losses` command: says from log lines why requests lost their credit.

A request keeps its credit if it is answered within its route's latency
objective. The command reads the lines `request-served`, `request-refused` and
`host-started` of any number of hosts, finds the reason of each loss and prints
a table, grouped as asked, and a ranking of the reasons. Lines that the rate
limit of the log omitted are not in the table; their number is printed.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import json
import re
from typing import Any
from typing import NamedTuple

from rich import console as rich_console
from rich import table as rich_table

from gooseberryweir import codes

# A late answer loses this fraction of its route's worth.
LATE_LOSS_FRACTION = 0.8
# A request that was sent later than this fraction of its latency objective
# after it was read lost its time at the host.
HELD_OBJECTIVE_FRACTION = 0.25
# Reasons in the ranking at the end.
RANKED_REASONS = 3
GROUPS = ("reason", "route", "zone", "second")
SERVED_IN_TIME = "served in time"

_PAIR = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME = re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}")
_NUMBER = re.compile(r"\d+(\.\d+)?")


class Outcome(NamedTuple):
    """How one request ended, as its host logged it.

    Attributes:
        reason: Why it lost credit, or `SERVED_IN_TIME`.
        route: Name of its route; empty if it was refused before that is known.
        zone: Availability zone of the host.
        second: Whole seconds since the first line of all logs.
        loss: Fraction of the route's worth that was lost.
    """

    reason: str
    route: str
    zone: str
    second: int
    loss: float


def parse_line(line: str) -> dict[str, str]:
    """Returns the pairs of a log line, with values without quotes."""
    return {
        key: json.loads(value) if value.startswith('"') else value
        for key, value in _PAIR.findall(line)
    }


def _late_reason(pairs: Mapping[str, str]) -> str:
    """Returns why an answer came after the latency objective."""
    objective = float(pairs["objective"])
    seconds = float(pairs["seconds"])
    attempt_seconds = float(pairs["attempt_seconds"])
    round_trip = float(pairs["round_trip"])
    remote = pairs["remote"] == "True"
    if int(pairs["attempt"]) > 1:
        return "late: further attempt"
    if seconds - attempt_seconds > HELD_OBJECTIVE_FRACTION * objective:
        return "late: held at the host"
    if int(pairs["waiting"]) > 0:
        return "late: queue at the upstream"
    if pairs["warm"] == "False":
        return f"late: cold object in {'another' if remote else 'this'} region"
    if remote and seconds - round_trip <= objective:
        return "late: round trip"
    return "late: slow upstream"


def _refusal_reason(pairs: Mapping[str, str]) -> str:
    """Returns why a request was refused or failed, without its numbers."""
    kind = "refused" if pairs["ran"] == "no" else "failed"
    detail = _NUMBER.sub("N", pairs["detail"])
    if pairs["code"] == str(int(codes.Code.RATE_EXCEEDED)):
        detail = "over the rate"
    return f"{kind} {pairs['code']}: {detail}"


def _outcome(
    pairs: Mapping[str, str], zone: str, second: int
) -> Outcome | None:
    """Returns the outcome that a line tells, or None if it tells none."""
    if pairs.get("event") == "request-refused":
        reason, loss = _refusal_reason(pairs), 1.0
    elif pairs.get("event") != "request-served":
        return None
    elif "objective" not in pairs:
        # A line of an earlier build.
        reason, loss = "served, objective unknown", 0.0
    elif float(pairs["seconds"]) <= float(pairs["objective"]):
        reason, loss = SERVED_IN_TIME, 0.0
    else:
        reason, loss = _late_reason(pairs), LATE_LOSS_FRACTION
    return Outcome(reason, pairs["route"], zone, second, loss)


class LogReader:
    """Reads outcomes of requests from log lines.

    Attributes:
        zones: Availability zone of each host, by its name.
        started_at: Time of the first line.
        omitted: Number of lines that the logs omitted.
        malformed: Number of lines that can't be read.
    """

    def __init__(self) -> None:
        self.zones: dict[str, str] = {}
        self.started_at: datetime.datetime | None = None
        self.omitted = 0
        self.malformed = 0

    def read(self, lines: Iterable[str]) -> Iterator[Outcome]:
        """Yields the outcome of each request that the lines tell of."""
        for line in lines:
            time = _TIME.search(line)
            if time is None:
                continue
            at = datetime.datetime.strptime(time[0], "%Y-%m-%d %H:%M:%S,%f")
            self.started_at = self.started_at or at
            second = int((at - self.started_at).total_seconds())
            try:
                outcome = self._read_line(line, second)
            except (KeyError, ValueError):
                # The end of the line may be missing.
                self.malformed += 1
                continue
            if outcome is not None:
                yield outcome

    def _read_line(self, line: str, second: int) -> Outcome | None:
        """Returns the outcome that a line tells, or None if it tells none.

        Raises:
            KeyError: The line lacks a pair.
            ValueError: A value can't be read.
        """
        pairs = parse_line(line)
        host = pairs.get("host", "")
        if pairs.get("event") == "host-started":
            self.zones[host] = pairs.get("zone", "")
        self.omitted += int(pairs.get("omitted", 0))
        return _outcome(pairs, self.zones.get(host, host), second)


def parse_worth(text: str) -> tuple[str, float]:
    """Returns route and worth of an option `ROUTE=NUMBER`.

    Raises:
        codes.UserError: BAD_SETTINGS if the text has another form.
    """
    route, _, number = text.partition("=")
    if not route or not _NUMBER.fullmatch(number):
        raise codes.UserError(
            codes.Code.BAD_SETTINGS, f"{text} is not ROUTE=NUMBER"
        )
    return route, float(number)


def show_losses(
    lines: Iterable[str],
    groups: Sequence[str],
    worth: Mapping[str, float],
    print_line: Callable[[str], None],
) -> None:
    """Prints the lost credit by group, and the reasons that lose most.

    Args:
        lines: Lines of the logs of any number of hosts.
        groups: Names in `GROUPS` by which losses are grouped.
        worth: Worth of a request by route; 1 for other routes.
        print_line: Prints one line.

    Raises:
        codes.UserError: BAD_SETTINGS if a group is not known.
    """
    for group in groups:
        if group not in GROUPS:
            raise codes.UserError(
                codes.Code.BAD_SETTINGS,
                f"{group} is not one of {', '.join(GROUPS)}",
            )
    reader = LogReader()
    counts: collections.Counter[tuple[str, ...]] = collections.Counter()
    losses: dict[tuple[str, ...], float] = collections.defaultdict(float)
    by_reason: dict[str, float] = collections.defaultdict(float)
    total = 0.0
    for outcome in reader.read(lines):
        value = worth.get(outcome.route, 1.0)
        key = tuple(str(getattr(outcome, group)) for group in groups)
        counts[key] += 1
        losses[key] += outcome.loss * value
        by_reason[outcome.reason] += outcome.loss * value
        total += value
    table = rich_table.Table(*groups, "requests", "lost", "of all")
    for key, loss in _largest_first(losses):
        table.add_row(
            *key, str(counts[key]), f"{loss:.1f}", _fraction(loss, total)
        )
    _print_table(table, print_line)
    print_line(
        f"log lines omitted: {reader.omitted}, malformed: {reader.malformed}"
    )
    for reason, loss in _largest_first(by_reason)[:RANKED_REASONS]:
        print_line(f"without {reason!r}: {_fraction(loss, total)} more credit")


def _largest_first(losses: Mapping[Any, float]) -> list[tuple[Any, float]]:
    """Returns the losses with their keys, the largest first."""
    return sorted(losses.items(), key=lambda item: -item[1])


def _fraction(part: float, total: float) -> str:
    """Returns a part of a total, or a dash if there is no total."""
    return f"{part / total:.4f}" if total else "-"


def _print_table(table: Any, print_line: Callable[[str], None]) -> None:
    """Prints a table as plain lines, without cutting cells."""
    console = rich_console.Console(width=200, no_color=True)
    with console.capture() as capture:
        console.print(table)
    for line in capture.get().splitlines():
        print_line(line.rstrip())
