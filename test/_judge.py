"""The conditions, judged by what callers and stand-ins saw.

A pause that was injected (a freeze, held bytes) may delay a start at an
upstream by its length after the decision to send; bounds on windows of starts
allow for that many seconds at the rate. No check asks how long anything took.
"""

import collections
import json
from typing import Any
from typing import NamedTuple

from test import _callers
from test import _common
from test import _load

# From the decision to send to the start at the upstream, on a busy machine.
TRANSIT_SECONDS = 0.5


class Start(NamedTuple):
    """A run that an upstream began.

    Attributes:
        upstream: Name of the upstream.
        at: Monotonic instant.
        account: Account that the host named.
        path: Path of the request.
        ticket: Its ticket, or empty.
        busy: Runs at the upstream then, this one included.
    """

    upstream: str
    at: float
    account: str
    path: str
    ticket: str
    busy: int


class Judge:
    """Checks conditions; each check returns the violations as text.

    Attributes:
        running: The deployment.
        seen: What callers saw.
        accounts: Rate and burst of each account.
        hold: Longest pause that was injected, seconds.
        starts: All starts, of upstreams that ended too.
        shed: Requests that an upstream had no slot for.
        text: All that upstreams printed.
    """

    def __init__(
        self,
        running: _common.Deployment,
        seen: list[_callers.Attempt],
        accounts: dict[str, tuple[float, int]],
        hold: float,
    ) -> None:
        self.running = running
        self.seen = list(seen)
        self.accounts = accounts
        self.hold = hold
        self.starts: list[Start] = []
        self.shed: list[Start] = []
        self.text = ""
        for name in running.upstream_specs:
            for log in sorted(running.directory.glob(f"{name}.*.log")):
                self.read_journal(name, log.read_text(errors="replace"))
        self.by_path: dict[str, list[Start]] = collections.defaultdict(list)
        for start in self.starts:
            self.by_path[start.path].append(start)
        self.requests = {each.request.path: each.request for each in seen}

    def read_journal(self, upstream: str, text: str) -> None:
        """Takes in what one process of an upstream printed."""
        self.text += text
        for line in text.splitlines():
            if line.startswith('{"event"') and line.endswith("}"):
                item: Any = json.loads(line)
                start = Start(
                    upstream,
                    item["at"],
                    item["account"],
                    item["path"],
                    item["id"],
                    item["busy"],
                )
                into = self.starts if item["event"] == "start" else self.shed
                into.append(start)

    def common(self) -> list[str]:
        """Checks the conditions that hold whatever was done."""
        return [
            *self.once(),
            *self.not_run(),
            *self.own_answers(),
            *self.own_accounts(),
            *self.no_keys(),
            *self.rates(),
            *self.shifts(),
            *self.slots(),
        ]

    def once(self) -> list[str]:
        """A non-idempotent request runs at most once."""
        counts = collections.Counter(
            start.ticket
            for start in self.starts
            if start.ticket and start.path.startswith("/contracts/orders")
        )
        return [
            f"once: {ticket} ran {count} times"
            for ticket, count in counts.items()
            if count > 1
        ]

    def not_run(self) -> list[str]:
        """A refusal that says "not run" is true; an answer has a run."""
        found = []
        for attempt in self.seen:
            runs = self.by_path[attempt.request.path]
            if attempt.ran == "no" and any(
                run.at < attempt.ended_at for run in runs
            ):
                found.append(f"not-run: {describe(attempt)} but {runs}")
            if attempt.status == 200 and not runs:
                found.append(f"not-run: answered without a run {attempt}")
        return found

    def own_answers(self) -> list[str]:
        """Each whole answer is the one to its request."""
        return [
            f"answer: {describe(attempt)}"
            for attempt in self.seen
            if not attempt.matches
        ]

    def own_accounts(self) -> list[str]:
        """A request runs only for the account whose key came with it."""
        found = []
        for start in self.starts:
            request = self.requests.get(start.path)
            if request is not None and request.account != start.account:
                found.append(f"account: {request.account} ran as {start}")
        return found

    def no_keys(self) -> list[str]:
        """No upstream sees a key."""
        return [
            f"key: one of {request.account} reached an upstream"
            for request in {r.key: r for r in self.requests.values()}.values()
            if request.key in self.text
        ]

    def rates(self) -> list[str]:
        """No account gets more than rate and burst in any window."""
        found = []
        for account, (rate, burst) in self.accounts.items():
            times = [s.at for s in self.starts if s.account == account]
            excess = _load.worst_excess(times, rate, burst)
            allowed = rate * (TRANSIT_SECONDS + self.hold)
            if excess > allowed:
                found.append(
                    f"rate: {account} by {excess:.1f}, {allowed:.1f} allowed"
                )
        return found

    def shifts(self) -> list[str]:
        """No shift passes its cap."""
        times = self.crossings()
        found = []
        for cap in self.running.declarations["shift_caps"]:
            pair = (cap["from"], cap["to"])
            rate, burst = cap["requests_per_second"], cap["burst"]
            excess = _load.worst_excess(times[pair], rate, burst)
            if excess > rate * (TRANSIT_SECONDS + self.hold):
                found.append(f"shift: {pair} by {excess:.1f}")
        return found

    def crossings(self) -> dict[tuple[str, str], list[float]]:
        """Returns when work went from one region to another.

        A signing is dispatched by the host that issued its ticket.
        """
        sent_to = {each.request.path: each.host for each in self.seen}
        specs = self.running.upstream_specs
        times: dict[tuple[str, str], list[float]] = collections.defaultdict(
            list
        )
        for start in self.starts:
            host = start.ticket.partition(":")[0] or sent_to.get(start.path)
            if host not in self.running.host_specs:
                continue
            origin = self.running.host_specs[host].region
            target = specs[start.upstream].region
            if origin != target:
                times[origin, target].append(start.at)
        return times

    def slots(self) -> list[str]:
        """No upstream is sent more than its slots hold."""
        found = [f"slots: {each}" for each in self.shed]
        for start in self.starts:
            if start.busy > self.running.upstream_specs[start.upstream].slots:
                found.append(f"slots: {start}")
        return found


def describe(attempt: _callers.Attempt) -> str:
    """Returns an attempt without its key."""
    request = attempt.request
    return (
        f"{request.account} {request.path} at {attempt.host}"
        f" sent={attempt.sent_at:.2f} ended={attempt.ended_at:.2f}"
        f" status={attempt.status} code={attempt.code} ran={attempt.ran}"
        f" {attempt.error}"
    )
