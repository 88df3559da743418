"""Callers that probe every host without pause, and what upstreams then saw."""

import hashlib
import math
import random
import threading
import time
from typing import Any
from typing import NamedTuple

import urllib3

from gooseberryweir import codes
from test import _common

PAUSE_SECONDS = 0.02
NOT_ADMITTED = {
    str(int(code))
    for code in (
        codes.Code.UNKNOWN_KEY,
        codes.Code.WITHDRAWN_KEY,
        codes.Code.UNKNOWN_ROUTE,
        codes.Code.HOST_STALE,
        codes.Code.HOST_STARTING,
    )
}
TIMEOUT_SECONDS = 10.0


class Sample(NamedTuple):
    """One request: when it was sent and answered, its status or 0, its code."""

    host: str
    sent_at: float
    ended_at: float
    path: str
    status: int
    code: str

    @property
    def admitted(self) -> bool:
        """Whether the host found nothing wrong with the key or the path.

        A request refused later, for its rate or for want of a slot, was
        admitted: the key worked and the version with its path was in force.
        """
        return self.status != 0 and self.code not in NOT_ADMITTED


class Prober:
    """One caller for each host, on a connection that it keeps open.

    Callers go straight to the hosts, past the proxy, so that a host that is
    cut off still hears them. A host that was started again is found again.

    Attributes:
        paths: What each caller asks for in turn; may be replaced.
        samples: All requests that have ended.
        connections: Connections opened to each host.
    """

    def __init__(
        self, running: _common.Deployment, key: str, paths: tuple[str, ...]
    ) -> None:
        self.running = running
        self.key = key
        self.paths = paths
        self.samples: list[Sample] = []
        self.connections = dict.fromkeys(running.host_specs, 0)
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.probe, args=(host,), daemon=True)
            for host in running.host_specs
        ]

    def __enter__(self) -> "Prober":
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exception: Any) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join(TIMEOUT_SECONDS + 1)

    def probe(self, host: str) -> None:
        """Sends one request after the other to a host."""
        pool: Any = None
        address = ""
        while not self.stopped.wait(PAUSE_SECONDS):
            process = self.running.hosts[host]
            words = process.ports or dict(
                word.split("=") for word in ready_words(process)
            )
            if not words:
                continue
            if address != f"127.0.0.1:{words['caller']}":
                address = f"127.0.0.1:{words['caller']}"
                pool = urllib3.HTTPConnectionPool(
                    *address.split(":"), maxsize=1, retries=False
                )
            for path in self.paths:
                self.samples.append(self.ask(pool, host, path))
            self.connections[host] = pool.num_connections

    def ask(self, pool: Any, host: str, path: str) -> Sample:
        """Sends one request."""
        sent_at = time.monotonic()
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Request-Timeout": "1",
        }
        try:
            answer = pool.request(
                "GET", path, headers=headers, timeout=TIMEOUT_SECONDS
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return Sample(host, sent_at, time.monotonic(), path, 0, "")
        ended_at = time.monotonic()
        code = answer.headers.get("Gooseberryweir-Code", "")
        return Sample(host, sent_at, ended_at, path, answer.status, code)

    def since(self, host: str, instant: float, path: str = "") -> list[Sample]:
        """Returns a host's samples sent since an instant."""
        return [
            sample
            for sample in list(self.samples)
            if sample.host == host
            and sample.sent_at >= instant
            and path in ("", sample.path)
        ]

    def last_admitted(self, path: str) -> float:
        """Returns when the last admitted request was answered, monotonic.

        Minus infinity if none was.
        """
        return max(
            (
                sample.ended_at
                for sample in list(self.samples)
                if sample.path == path and sample.admitted
            ),
            default=-math.inf,
        )

    def wait_accepted(self, path: str = "", hosts: Any = None) -> None:
        """Waits until each host accepts what is sent from now on."""
        self.wait_last(hosts, path, lambda each: each.status == 200, "accepts")

    def wait_refused(self, path: str = "", hosts: Any = None) -> None:
        """Waits until each host admits nothing that is sent from now on."""
        self.wait_last(
            hosts, path, lambda each: each.code in NOT_ADMITTED, "refuses"
        )

    def wait_last(self, hosts: Any, path: str, wanted: Any, what: str) -> None:
        """Waits until the newest three samples of each host are wanted."""
        began = time.monotonic()

        def reached(host: str) -> bool:
            last = self.since(host, began, path)[-3:]
            return len(last) == 3 and all(map(wanted, last))

        for host in hosts or self.running.host_specs:
            _common.wait_until(
                lambda host=host: reached(host),
                description=f"{host} {what} {path}",
            )


def ready_words(process: _common.Process) -> list[str]:
    """Returns the words of a process's `ready` line; none once it ended."""
    try:
        return process.ready_words()[1:]
    except AssertionError:
        return []


def starts(running: _common.Deployment, path: str) -> list[float]:
    """Returns when work on a path began at any living upstream, monotonic.

    The monotonic clock is one for all processes of a machine.
    """
    return sorted(
        started_at
        for report in running.reports().values()
        for started_at, _, started_path, _ in report["starts"]
        if started_path == path
    )


class Keys:
    """Keys of one client account, issued and withdrawn one after another."""

    def __init__(self, running: _common.Deployment, account: str) -> None:
        self.running = running
        self.account = account
        self.random = random.Random(11)
        first = running.keys[account]
        self.digests = {digest_of(first): "issued"}

    def issue(self) -> str:
        """Writes a new key to the platform and returns it."""
        key = f"{self.random.getrandbits(256):064x}"
        self.digests[digest_of(key)] = "issued"
        self.write()
        return key

    def write(self) -> None:
        """Writes the account's keys to the platform, past its faults."""
        spec = {"id": "test", "digests": dict(self.digests)}
        self.running.put("steeringobjects", f"keys.{self.account}", spec)

    def withdraw_in_platform(self, key: str) -> float:
        """Withdraws a key there; returns the instant before."""
        self.digests[digest_of(key)] = "withdrawn"
        began = time.monotonic()
        self.write()
        return began

    def withdraw_at_host(self, key: str, host: str) -> float:
        """Withdraws a key at an operator port; returns the instant before."""
        self.digests[digest_of(key)] = "withdrawn"
        began = time.monotonic()
        answer = _common.request(
            "POST",
            self.running.hosts[host].url("/v1/withdraw", "operator"),
            body={"digest": digest_of(key)},
            key=self.running.operator_token,
        )
        if answer.status != 200:
            raise AssertionError(f"withdraw at {host}: {answer.status}")
        return began


def digest_of(key: str) -> str:
    """Returns the SHA-256 digest of a key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def cut_from_platform(running: _common.Deployment, host: str) -> None:
    """Holds all bytes between a host and the platform."""
    running.set_rules(f"{host}>platform:*", blackhole="both")


def cut_from_peers(running: _common.Deployment, host: str) -> None:
    """Holds all bytes between a host and the others."""
    running.set_rules(f"{host}>peer:*", f"*>peer:{host}", blackhole="both")


def heal(running: _common.Deployment) -> None:
    """Removes the cuts of all hosts and the faults of the platform."""
    for host in running.host_specs:
        running.set_rules(
            f"{host}>platform:*", f"{host}>peer:*", f"*>peer:{host}"
        )
    running.control(
        outage="",
        delay_ms=0,
        stale_reads=False,
        watch_late_ms=0,
        watch_twice=False,
        watch_shuffled=False,
        list_lag_ms=0,
    )
