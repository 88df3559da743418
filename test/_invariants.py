"""Checks of conditions that must hold under every fault.

The checks use what clients and upstreams recorded. A run is the processing of a
request by an upstream. Between a host's decision to send a request and the
start of its run, an injected pause (a freeze, or bytes held back by the proxy)
can add its whole duration. Limits on the number of starts in a time window
therefore allow the rate times that duration in addition. No check limits how
long an operation takes.
"""

import collections
import json
from typing import Any
from typing import NamedTuple

from test import _callers
from test import _common
from test import _load

# Longest time from a host's decision to send a request to the start of its run
# at the upstream, on a busy machine.
MAX_TRANSIT_SECONDS = 0.5


class Start(NamedTuple):
    """The start of a request's run at an upstream, or a request that it shed.

    An upstream sheds (rejects) a request if it has no free slot.

    Attributes:
        upstream: Name of the upstream.
        at: Monotonic time of the start or the rejection, seconds.
        account: Account in the headers that the host sent.
        path: Path of the request.
        ticket: Ticket of the request, or empty.
        busy: Requests running at the upstream at that time, including this
            one if it runs.
    """

    upstream: str
    at: float
    account: str
    path: str
    ticket: str
    busy: int


class InvariantChecker:
    """Checks the conditions; each check returns the violations as text.

    Attributes:
        running: The running deployment.
        attempts: Attempts that clients recorded.
        accounts: Rate (requests per second) and burst of each account.
        max_pause_seconds: Longest injected pause, seconds.
        starts: Starts of runs at all upstreams, including ended processes.
        shed: Requests that an upstream rejected for lack of a free slot.
        output: Everything that upstreams printed.
        starts_by_path: Starts by path of the request.
        requests_by_path: Requests by path.
    """

    def __init__(
        self,
        running: _common.Deployment,
        attempts: list[_callers.Attempt],
        accounts: dict[str, tuple[float, int]],
        max_pause_seconds: float,
    ) -> None:
        self.running = running
        self.attempts = list(attempts)
        self.accounts = accounts
        self.max_pause_seconds = max_pause_seconds
        self.starts: list[Start] = []
        self.shed: list[Start] = []
        self.output = ""
        for name in running.upstream_specs:
            for log in sorted(running.directory.glob(f"{name}.*.log")):
                self.read_journal(name, log.read_text(errors="replace"))
        self.starts_by_path: dict[str, list[Start]] = collections.defaultdict(
            list
        )
        for start in self.starts:
            self.starts_by_path[start.path].append(start)
        self.requests_by_path = {
            each.request.path: each.request for each in attempts
        }

    def read_journal(self, upstream: str, text: str) -> None:
        """Records the starts and shed requests that one process printed."""
        self.output += text
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
                records = self.starts if item["event"] == "start" else self.shed
                records.append(start)

    def check_all(self) -> list[str]:
        """Checks all conditions."""
        return [
            *self.check_at_most_once(),
            *self.check_refusals(),
            *self.check_answers(),
            *self.check_accounts(),
            *self.check_keys(),
            *self.check_rates(),
            *self.check_shift_caps(),
            *self.check_slots(),
        ]

    def check_at_most_once(self) -> list[str]:
        """Checks that a non-idempotent request runs at most once."""
        counts = collections.Counter(
            start.ticket
            for start in self.starts
            if start.ticket and start.path.startswith("/contracts/orders")
        )
        return [
            f"at most once: ticket {ticket} ran {count} times"
            for ticket, count in counts.items()
            if count > 1
        ]

    def check_refusals(self) -> list[str]:
        """Checks that answers to clients agree with the runs at upstreams.

        A request refused as "not run" has no start before the refusal, and an
        answered request has a start.
        """
        violations = []
        for attempt in self.attempts:
            runs = self.starts_by_path[attempt.request.path]
            if attempt.ran == "no" and any(
                run.at < attempt.ended_at for run in runs
            ):
                violations.append(f"not-run: {describe(attempt)} but {runs}")
            if attempt.status == 200 and not runs:
                violations.append(f"not-run: answered without a run {attempt}")
        return violations

    def check_answers(self) -> list[str]:
        """Checks that each complete answer belongs to its request."""
        return [
            f"answer of another request: {describe(attempt)}"
            for attempt in self.attempts
            if not attempt.matches
        ]

    def check_accounts(self) -> list[str]:
        """Checks that a request runs only for the account of its key."""
        violations = []
        for start in self.starts:
            request = self.requests_by_path.get(start.path)
            if request is not None and request.account != start.account:
                violations.append(f"account: {request.account} ran as {start}")
        return violations

    def check_keys(self) -> list[str]:
        """Checks that no key is sent to an upstream."""
        return [
            f"key: a key of {request.account} reached an upstream"
            for request in {
                r.key: r for r in self.requests_by_path.values()
            }.values()
            if request.key in self.output
        ]

    def check_rates(self) -> list[str]:
        """Checks that no account exceeds rate and burst in any time window."""
        violations = []
        for account, (rate, burst) in self.accounts.items():
            times = [s.at for s in self.starts if s.account == account]
            excess = _load.worst_excess(times, rate, burst)
            allowed = rate * (MAX_TRANSIT_SECONDS + self.max_pause_seconds)
            if excess > allowed:
                violations.append(
                    f"rate: {account} exceeded it by {excess:.1f} runs,"
                    f" {allowed:.1f} allowed"
                )
        return violations

    def check_shift_caps(self) -> list[str]:
        """Checks that requests sent to another region stay within the cap.

        Each pair of regions has its own cap.
        """
        times = self.shifted_starts()
        violations = []
        for cap in self.running.declarations["shift_caps"]:
            pair = (cap["from"], cap["to"])
            rate, burst = cap["requests_per_second"], cap["burst"]
            excess = _load.worst_excess(times[pair], rate, burst)
            if excess > rate * (MAX_TRANSIT_SECONDS + self.max_pause_seconds):
                violations.append(
                    f"shift cap: {pair} exceeded it by {excess:.1f} runs"
                )
        return violations

    def shifted_starts(self) -> dict[tuple[str, str], list[float]]:
        """Returns the times of starts outside the sending host's region.

        The keys are pairs of the host's and the upstream's region. A request
        with a ticket is sent by the host that issued the ticket.
        """
        hosts_by_path = {each.request.path: each.host for each in self.attempts}
        specs = self.running.upstream_specs
        times: dict[tuple[str, str], list[float]] = collections.defaultdict(
            list
        )
        for start in self.starts:
            host = start.ticket.partition(":")[0] or hosts_by_path.get(
                start.path
            )
            if host not in self.running.host_specs:
                continue
            origin = self.running.host_specs[host].region
            target = specs[start.upstream].region
            if origin != target:
                times[origin, target].append(start.at)
        return times

    def check_slots(self) -> list[str]:
        """Checks that no upstream is sent more requests than it has slots."""
        violations = [f"slots: {each}" for each in self.shed]
        for start in self.starts:
            if start.busy > self.running.upstream_specs[start.upstream].slots:
                violations.append(f"slots: {start}")
        return violations


def describe(attempt: _callers.Attempt) -> str:
    """Describes an attempt without its key."""
    request = attempt.request
    return (
        f"{request.account} {request.path} at {attempt.host}"
        f" sent={attempt.sent_at:.2f} ended={attempt.ended_at:.2f}"
        f" status={attempt.status} code={attempt.code} ran={attempt.ran}"
        f" {attempt.error}"
    )
