"""Sends probes to every host continuously; issues and withdraws API keys."""

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

PROBE_INTERVAL_SECONDS = 0.02
NOT_ADMITTED_CODES = {
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
    """One probe request.

    Attributes:
        host: Name of the host.
        sent_at: Monotonic time of sending, seconds.
        ended_at: Monotonic time of the answer or of the failure, seconds.
        path: Path of the request.
        status: HTTP status; 0 if the connection failed.
        code: Result code of a refusal, or empty.
    """

    host: str
    sent_at: float
    ended_at: float
    path: str
    status: int
    code: str

    @property
    def admitted(self) -> bool:
        """True if the host accepted the key and the path.

        A request refused later, for its rate or because no slot is free, was
        admitted: its key was valid and the configuration version with its path
        was active.
        """
        return self.status != 0 and self.code not in NOT_ADMITTED_CODES


class Prober:
    """Sends probes to each host from a thread, on a persistent connection.

    Probes bypass the fault proxy, so that they reach a host that is cut off.
    After the restart of a host they are sent to its new port.

    Attributes:
        running: The running deployment.
        key: API key sent with each probe.
        paths: Paths requested in turn at each host; may be replaced.
        samples: All probes that have ended.
        connections: Number of connections opened to the current process of
            each host.
        stopped: Set to end the threads.
        threads: One thread for each host.
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
        """Sends probes to a host one after another until stopped."""
        pool: Any = None
        address = ""
        while not self.stopped.wait(PROBE_INTERVAL_SECONDS):
            process = self.running.hosts[host]
            ports = process.ports or dict(
                word.split("=") for word in ready_words(process)
            )
            if not ports:
                continue
            if address != f"127.0.0.1:{ports['caller']}":
                address = f"127.0.0.1:{ports['caller']}"
                pool = urllib3.HTTPConnectionPool(
                    *address.split(":"), maxsize=1, retries=False
                )
            for path in self.paths:
                self.samples.append(self.send(pool, host, path))
            self.connections[host] = pool.num_connections

    def send(self, pool: Any, host: str, path: str) -> Sample:
        """Sends one probe."""
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

    def samples_since(
        self, host: str, since: float, path: str = ""
    ) -> list[Sample]:
        """Returns a host's samples sent since a monotonic time, seconds.

        An empty path selects the samples of all paths.
        """
        return [
            sample
            for sample in list(self.samples)
            if sample.host == host
            and sample.sent_at >= since
            and path in ("", sample.path)
        ]

    def last_admitted(self, path: str) -> float:
        """Returns the time of the last answer to an admitted probe of a path.

        Returns:
            Monotonic time, seconds; minus infinity if no probe was admitted.
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
        """Waits until each host answers three new probes in a row with 200."""
        self.wait_latest(
            hosts, path, lambda each: each.status == 200, "accepts"
        )

    def wait_refused(self, path: str = "", hosts: Any = None) -> None:
        """Waits until each host admits none of three new probes in a row."""
        self.wait_latest(
            hosts, path, lambda each: each.code in NOT_ADMITTED_CODES, "refuses"
        )

    def wait_latest(
        self, hosts: Any, path: str, passes: Any, verb: str
    ) -> None:
        """Waits until the latest three samples of each host pass a test.

        Args:
            hosts: Names of the hosts; all if empty or None.
            path: Path of the probes; all paths if empty.
            passes: Returns True for a sample that passes the test.
            verb: The outcome in one word, for the error.
        """
        started_at = time.monotonic()

        def all_passed(host: str) -> bool:
            latest = self.samples_since(host, started_at, path)[-3:]
            return len(latest) == 3 and all(map(passes, latest))

        for host in hosts or self.running.host_specs:
            _common.wait_until(
                lambda host=host: all_passed(host),
                description=f"{host} {verb} {path}",
            )


def ready_words(process: _common.Process) -> list[str]:
    """Returns the ports NAME=PORT of a process's `ready` line.

    Empty if the process has not yet printed the line, or ended without it.
    """
    try:
        return process.ready_words()[1:]
    except AssertionError:
        return []


def run_starts(running: _common.Deployment, path: str) -> list[float]:
    """Returns when upstreams began to process requests for a path.

    Returns:
        Monotonic times at all running upstreams, seconds, in ascending order.
        All processes of a machine share the monotonic clock.
    """
    return sorted(
        started_at
        for report in running.reports().values()
        for started_at, _, started_path, _ in report["starts"]
        if started_path == path
    )


class AccountKeys:
    """Issues and withdraws API keys of one client account.

    Attributes:
        running: The running deployment.
        account: The client account.
        rng: Source of new keys.
        digests: State of each key, "issued" or "withdrawn", by its digest.
    """

    def __init__(self, running: _common.Deployment, account: str) -> None:
        self.running = running
        self.account = account
        self.rng = random.Random(11)
        first = running.keys[account]
        self.digests = {key_digest(first): "issued"}

    def issue(self) -> str:
        """Writes a new key to the platform and returns it."""
        key = f"{self.rng.getrandbits(256):064x}"
        self.digests[key_digest(key)] = "issued"
        self.write()
        return key

    def write(self) -> None:
        """Writes the keys to the platform; faults do not affect the write."""
        spec = {"id": "test", "digests": dict(self.digests)}
        self.running.put("steeringobjects", f"keys.{self.account}", spec)

    def withdraw_in_platform(self, key: str) -> float:
        """Withdraws a key in the platform.

        Returns:
            Monotonic time just before the write, seconds.
        """
        self.digests[key_digest(key)] = "withdrawn"
        started_at = time.monotonic()
        self.write()
        return started_at

    def withdraw_at_host(self, key: str, host: str) -> float:
        """Withdraws a key with a request to the operator port of a host.

        Returns:
            Monotonic time just before the request, seconds.
        """
        self.digests[key_digest(key)] = "withdrawn"
        started_at = time.monotonic()
        answer = _common.request(
            "POST",
            self.running.hosts[host].url("/v1/withdraw", "operator"),
            body={"digest": key_digest(key)},
            key=self.running.operator_token,
        )
        if answer.status != 200:
            raise AssertionError(f"withdraw at {host}: {answer.status}")
        return started_at


def key_digest(key: str) -> str:
    """Returns the SHA-256 digest of a key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def cut_from_platform(running: _common.Deployment, host: str) -> None:
    """Holds back all bytes between a host and the platform."""
    running.set_rules(f"{host}>platform:*", blackhole="both")


def cut_from_peers(running: _common.Deployment, host: str) -> None:
    """Holds back all bytes between a host and its peers."""
    running.set_rules(f"{host}>peer:*", f"*>peer:{host}", blackhole="both")


def remove_faults(running: _common.Deployment) -> None:
    """Removes the cuts of all hosts and all faults of the platform."""
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
