"""Clients that make look-ups, send requests and record all attempts.

The answer to a look-up lists hosts to use and contains a batch of tickets. A
ticket is an idempotency key, with which a request runs at most once.
"""

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

THREAD_COUNT = 128
TIMEOUT_SECONDS = 15.0


class Traffic(NamedTuple):
    """Request load of one client account.

    Attributes:
        account: The client account.
        rate: Requests per second.
        non_idempotent_share: Fraction of requests that are not idempotent, 0
            to 1.
    """

    account: str
    rate: float
    non_idempotent_share: float = 0.3


class Request(NamedTuple):
    """One request, which may be sent more than once.

    Attributes:
        number: Unique number; part of the path.
        account: Client account that the key belongs to.
        key: API key sent with the request.
        path: Request path, different for each request.
        ticket: Ticket sent as the idempotency key; empty for an idempotent
            request.
    """

    number: int
    account: str
    key: str
    path: str
    ticket: str


class Attempt(NamedTuple):
    """Outcome of sending a request once.

    Attributes:
        request: The request.
        host: Host that the request was sent to.
        sent_at: Monotonic time of sending, seconds.
        ended_at: Monotonic time at which the answer was complete or the
            connection failed, seconds.
        look_up_expires_at: Monotonic time at which the look-up that listed the
            host expires, seconds.
        status: HTTP status; 0 if the connection failed.
        code: Result code of a refusal (an error answer by a host), or 0.
        ran: Value of the Gooseberryweir-Ran header of a refusal: "no" if no
            upstream began to process the request, "yes" or "unknown"; "yes" for
            any other answer, "unknown" if the connection failed.
        matches: True unless a complete answer with status 200 belongs to
            another request.
        error: Description of the connection failure, or empty.
    """

    request: Request
    host: str
    sent_at: float
    ended_at: float
    look_up_expires_at: float
    status: int
    code: int
    ran: str
    matches: bool
    error: str


class CachedLookUp(NamedTuple):
    """A cached look-up answer.

    Attributes:
        hosts: Names of the listed hosts.
        expires_at: Monotonic time at which the answer expires, seconds.
        refresh_at: Monotonic time from which a new look-up is made, seconds.
        tickets: Iterator over the tickets that are not yet used.
    """

    hosts: tuple[str, ...]
    expires_at: float
    refresh_at: float
    tickets: Any


class Callers:
    """Clients of all accounts, which send requests and record the outcomes.

    Attributes:
        running: The running deployment.
        rng: Source of random choices.
        attempts: All attempts that have ended.
        look_ups: Latest look-up of each account.
        request_numbers: Source of unique request numbers.
        lock: Guards `refreshing`.
        pool: Threads that send attempts and look-ups.
        futures: Attempts and look-ups submitted to the thread pool.
        refreshing: Accounts with a look-up in flight.
    """

    def __init__(self, running: _common.Deployment, seed: int) -> None:
        self.running = running
        self.rng = random.Random(seed)
        self.attempts: list[Attempt] = []
        self.look_ups: dict[str, CachedLookUp] = {}
        self.request_numbers = itertools.count(1)
        self.lock = threading.Lock()
        self.pool = concurrent.futures.ThreadPoolExecutor(THREAD_COUNT)
        self.futures: list[Any] = []
        self.refreshing: set[str] = set()

    def run(
        self,
        traffic: list[Traffic],
        stopped: Callable[[], bool],
    ) -> None:
        """Sends requests of each account as a Poisson process.

        Args:
            traffic: Load of each account.
            stopped: Returns True once sending should end.
        """
        next_sends = [
            (time.monotonic() + self.rng.expovariate(each.rate), index)
            for index, each in enumerate(traffic)
        ]
        while not stopped():
            send_at, index = min(next_sends)
            time.sleep(max(0.0, send_at - time.monotonic()))
            each = traffic[index]
            interval = self.rng.expovariate(each.rate)
            next_sends[index] = (
                max(send_at, time.monotonic() - 1.0) + interval,
                index,
            )
            self.send_next(each)

    def finish(self) -> None:
        """Waits until all attempts and look-ups have ended."""
        while self.futures:
            self.futures.pop().result()
        self.pool.shutdown()

    def send_next(self, traffic: Traffic) -> None:
        """Sends one request of an account, to one host or to several.

        A non-idempotent request may be sent to up to three hosts at once, and
        again within 2 s, to test that it runs at most once. Sends nothing if
        the account has no valid look-up or no ticket left.
        """
        look_up = self.cached_look_up(traffic.account)
        if look_up is None:
            return
        number = next(self.request_numbers)
        ticket = ""
        path = f"/contracts/q{number}"
        hosts = [self.rng.choice(look_up.hosts)]
        if self.rng.random() < traffic.non_idempotent_share:
            next_ticket = next(look_up.tickets, None)
            if next_ticket is None:
                return
            ticket = next_ticket
            path = f"/contracts/orders/q{number}"
            count = self.rng.choice((1, 1, 2, 3))
            hosts = self.rng.sample(
                look_up.hosts, min(count, len(look_up.hosts))
            )
        key = self.running.keys[traffic.account]
        request = Request(number, traffic.account, key, path, ticket)
        resend = bool(ticket) and self.rng.random() < 0.4
        resend_delay = self.rng.uniform(0.1, 2.0) if resend else 0.0
        self.futures += [
            self.pool.submit(
                self.send, request, host, look_up.expires_at, delay
            )
            for host, delay in [
                *((host, 0.0) for host in hosts),
                *((self.rng.choice(look_up.hosts), resend_delay),) * resend,
            ]
        ]

    def cached_look_up(self, account: str) -> CachedLookUp | None:
        """Returns the account's look-up, or None if none is valid.

        Starts a new look-up once half of the time to live has passed.
        """
        cached = self.look_ups.get(account)
        now = time.monotonic()
        if cached is None or cached.refresh_at < now:
            with self.lock:
                if account not in self.refreshing:
                    self.refreshing.add(account)
                    self.futures.append(self.pool.submit(self.look_up, account))
        if cached is None or cached.expires_at < now:
            return None
        return cached

    def look_up(self, account: str) -> None:
        """Sends a look-up to one host after another until one answers.

        Tries the hosts of the cached look-up while it is valid, else all.
        """
        names = list(self.running.host_specs)
        cached = self.look_ups.get(account)
        if cached is not None and cached.expires_at > time.monotonic():
            names = list(cached.hosts)
        random.shuffle(names)
        try:
            for name in names:
                sent_at = time.monotonic()
                try:
                    answer = self.running.call(
                        name, "GET", "/v1/hosts", account, timeout=1.0
                    )
                except (urllib3.exceptions.HTTPError, OSError):
                    continue
                if answer.status == 200:
                    self.cache_look_up(account, answer.json(), sent_at)
                    return
        finally:
            self.refreshing.discard(account)

    def cache_look_up(
        self, account: str, document: Any, sent_at: float
    ) -> None:
        """Caches a look-up answer; its time to live counts from the sending."""
        tickets = document["tickets"]
        prefix, count = tickets["prefix"], tickets["count"]
        self.look_ups[account] = CachedLookUp(
            tuple(each["name"] for each in document["hosts"]),
            sent_at + document["ttl"],
            sent_at + document["ttl"] / 2,
            iter([f"{prefix}{number}" for number in range(count)]),
        )

    def send(
        self,
        request: Request,
        host: str,
        look_up_expires_at: float,
        delay: float = 0.0,
    ) -> Attempt:
        """Sends a request once and records the outcome.

        Args:
            request: The request.
            host: Name of the host.
            look_up_expires_at: Monotonic time at which the look-up that listed
                the host expires, seconds.
            delay: Time to wait before sending, seconds.
        """
        time.sleep(delay)
        body = f"body {request.number}".encode()
        headers = {"Idempotency-Key": request.ticket} if request.ticket else {}
        sent_at = time.monotonic()
        status, code, ran, matches, failure = 0, 0, "unknown", True, ""
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
            matches = status != 200 or echo_matches(
                request, body, answer.json()
            )
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            status, failure = 0, repr(error)
        ended_at = time.monotonic()
        attempt = Attempt(
            request,
            host,
            sent_at,
            ended_at,
            look_up_expires_at,
            status,
            code,
            ran,
            matches,
            failure,
        )
        self.attempts.append(attempt)
        return attempt


def echo_matches(request: Request, body: bytes, echo: Any) -> bool:
    """Returns True if an upstream's answer echoes a request's path and body."""
    digest = hashlib.sha256(body).hexdigest()
    return echo["path"] == request.path and echo["body_sha256"] == digest
