"""Callers that use look-ups and tickets, and note all that they see."""

from collections.abc import Callable
import concurrent.futures
import hashlib
import itertools
import random
import threading
import time
from typing import Any
from typing import NamedTuple

import urllib3

from test import _common

THREADS = 128
TIMEOUT_SECONDS = 15.0


class Traffic(NamedTuple):
    """Requests of one client account.

    Attributes:
        account: The client account.
        rate: Requests a second.
        signings: Share of non-idempotent requests.
    """

    account: str
    rate: float
    signings: float = 0.3


class Request(NamedTuple):
    """One request, which may be sent more than once.

    Attributes:
        number: Unique; part of the path.
        account: Client account whose key is sent.
        key: The key.
        path: Path, which no other request has.
        ticket: Its ticket, or empty.
    """

    number: int
    account: str
    key: str
    path: str
    ticket: str


class Attempt(NamedTuple):
    """What a caller saw of sending a request once.

    Attributes:
        request: The request.
        host: Host that was asked.
        sent_at: Monotonic instant of sending.
        ended_at: Monotonic instant of the end of the answer.
        named_until: When the look-up that named the host runs out.
        status: HTTP status; 0 for a broken connection.
        code: Result code of a refusal, or 0.
        ran: What a refusal said, "yes" for an answer, else "unknown".
        own: Whether a whole answer was the one to this request.
        fault: How the connection broke, or empty.
    """

    request: Request
    host: str
    sent_at: float
    ended_at: float
    named_until: float
    status: int
    code: int
    ran: str
    own: bool
    fault: str


class LookedUp(NamedTuple):
    """A cached look-up."""

    hosts: tuple[str, ...]
    until: float
    refresh_at: float
    tickets: Any


class Callers:
    """Callers of all accounts.

    Attributes:
        running: The deployment.
        seen: What they saw.
        look_ups: Newest look-up of each account.
    """

    def __init__(self, running: _common.Deployment, seed: int) -> None:
        self.running = running
        self.random = random.Random(seed)
        self.seen: list[Attempt] = []
        self.look_ups: dict[str, LookedUp] = {}
        self.numbers = itertools.count(1)
        self.lock = threading.Lock()
        self.pool = concurrent.futures.ThreadPoolExecutor(THREADS)
        self.futures: list[Any] = []
        self.refreshing: set[str] = set()

    def run(
        self,
        traffic: list[Traffic],
        until: Callable[[], bool],
    ) -> None:
        """Sends by a Poisson process for each account until told to stop."""
        due = [
            (time.monotonic() + self.random.expovariate(each.rate), order)
            for order, each in enumerate(traffic)
        ]
        while not until():
            at, order = min(due)
            time.sleep(max(0.0, at - time.monotonic()))
            each = traffic[order]
            delay = self.random.expovariate(each.rate)
            due[order] = (max(at, time.monotonic() - 1.0) + delay, order)
            self.send_next(each)

    def finish(self) -> None:
        """Waits for the answers to all that was sent."""
        while self.futures:
            self.futures.pop().result()
        self.pool.shutdown()

    def send_next(self, traffic: Traffic) -> None:
        """Sends one request of an account."""
        looked_up = self.looked_up(traffic.account)
        if looked_up is None:
            return
        number = next(self.numbers)
        ticket = ""
        path = f"/contracts/q{number}"
        hosts = [self.random.choice(looked_up.hosts)]
        if self.random.random() < traffic.signings:
            used = next(looked_up.tickets, None)
            if used is None:
                return
            ticket = used
            path = f"/contracts/orders/q{number}"
            count = self.random.choice((1, 1, 2, 3))
            hosts = self.random.sample(
                looked_up.hosts, min(count, len(looked_up.hosts))
            )
        key = self.running.keys[traffic.account]
        request = Request(number, traffic.account, key, path, ticket)
        again = bool(ticket) and self.random.random() < 0.4
        delay = self.random.uniform(0.1, 2.0) if again else 0.0
        self.futures += [
            self.pool.submit(self.send, request, host, looked_up.until, wait)
            for host, wait in [
                *((host, 0.0) for host in hosts),
                *((self.random.choice(looked_up.hosts), delay),) * again,
            ]
        ]

    def looked_up(self, account: str) -> LookedUp | None:
        """Returns a live look-up, asked for again before it runs out."""
        held = self.look_ups.get(account)
        now = time.monotonic()
        if held is None or held.refresh_at < now:
            with self.lock:
                if account not in self.refreshing:
                    self.refreshing.add(account)
                    self.futures.append(self.pool.submit(self.look_up, account))
        if held is None or held.until < now:
            return None
        return held

    def look_up(self, account: str) -> None:
        """Asks hosts for a look-up until one answers."""
        names = list(self.running.host_specs)
        held = self.look_ups.get(account)
        if held is not None and held.until > time.monotonic():
            names = list(held.hosts)
        random.shuffle(names)
        try:
            for name in names:
                asked_at = time.monotonic()
                try:
                    answer = self.running.call(
                        name, "GET", "/v1/hosts", account, timeout=1.0
                    )
                except (urllib3.exceptions.HTTPError, OSError):
                    continue
                if answer.status == 200:
                    self.take(account, answer.json(), asked_at)
                    return
        finally:
            self.refreshing.discard(account)

    def take(self, account: str, document: Any, asked_at: float) -> None:
        """Keeps a look-up; its time to live counts from the asking."""
        tickets = document["tickets"]
        prefix, count = tickets["prefix"], tickets["count"]
        self.look_ups[account] = LookedUp(
            tuple(each["name"] for each in document["hosts"]),
            asked_at + document["ttl"],
            asked_at + document["ttl"] / 2,
            iter([f"{prefix}{number}" for number in range(count)]),
        )

    def send(
        self, request: Request, host: str, named_until: float, wait: float = 0.0
    ) -> Attempt:
        """Sends a request once and notes what came back."""
        time.sleep(wait)
        body = f"body {request.number}".encode()
        headers = {"Idempotency-Key": request.ticket} if request.ticket else {}
        sent_at = time.monotonic()
        status, code, ran, own, fault = 0, 0, "unknown", True, ""
        address = self.running.addresses[f"caller:{host}"]
        try:
            answer = _common.request(
                "POST" if request.ticket else "PUT",
                f"http://{address}{request.path}",
                body=body,
                key=request.key,
                headers=headers,
                timeout=TIMEOUT_SECONDS,
            )
            status = answer.status
            code = int(answer.headers.get("Gooseberryweir-Code", 0))
            ran = answer.headers.get("Gooseberryweir-Ran", "yes")
            own = status != 200 or is_own(request, body, answer.json())
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            status, fault = 0, repr(error)
        ended_at = time.monotonic()
        attempt = Attempt(
            request,
            host,
            sent_at,
            ended_at,
            named_until,
            status,
            code,
            ran,
            own,
            fault,
        )
        self.seen.append(attempt)
        return attempt


def is_own(request: Request, body: bytes, echo: Any) -> bool:
    """Returns whether an upstream's echo is the whole answer to a request."""
    digest = hashlib.sha256(body).hexdigest()
    return echo["path"] == request.path and echo["body_sha256"] == digest
