"""Runs a fleet under load while the platform does not answer.

Usage: python -m bench.outage [SECONDS], by default ten minutes. Starts nine
hosts and makes the platform unavailable. During the outage a key is withdrawn,
a host is killed and restarted, and another host is paused. Prints the responses
that clients received in each minute, and finally the violations of the
conditions that `test._invariants` checks.
"""

import collections
import hashlib
import sys
import threading
import time

from test import _callers
from test import _common
from test import _deployments
from test import _invariants

# Rate in requests per second and burst of each client account.
ACCOUNTS = {"ada": (8.0, 4), "ben": (15.0, 10), "eve": (10.0, 10)}
TRAFFIC = [_callers.Traffic("ada", 16.0), _callers.Traffic("ben", 4.0)]


def report(callers: _callers.Callers, since: float) -> None:
    """Prints the numbers of recent responses by status and result code.

    Args:
        callers: Clients that recorded the responses.
        since: Monotonic time, seconds; responses that ended earlier are not
            counted.
    """
    recent = [each for each in callers.attempts if each.ended_at >= since]
    counts = collections.Counter((each.status, each.code) for each in recent)
    line = " ".join(
        f"{status}/{code}={count}"
        for (status, code), count in sorted(counts.items())
    )
    print(f"minute answers {line}", flush=True)


def request_status(running: _common.Deployment, host: str, key: str) -> int:
    """Sends a request with a key to a host; returns the HTTP status."""
    address = running.addresses[f"caller:{host}"]
    url = f"http://{address}/contracts/probe"
    return _common.request("GET", url, key=key, timeout=5.0).status


def inject_faults(
    running: _common.Deployment, names: list[str], interval: float
) -> None:
    """Withdraws a key, kills and restarts a host, and pauses another host.

    Args:
        running: The deployment.
        names: Names of its hosts.
        interval: Seconds to wait before each of these three events.
    """
    time.sleep(interval)
    address = running.addresses[f"operator:{names[0]}"]
    digest = hashlib.sha256(running.keys["eve"].encode()).hexdigest()
    answer = _common.request(
        "POST",
        f"http://{address}/v1/withdraw",
        body={"digest": digest},
        key=running.operator_token,
    ).json()
    print(f"key withdrawn confirmed={len(answer['confirmed'])}", flush=True)
    time.sleep(interval)
    running.hosts[names[1]].kill()
    time.sleep(10.0)
    running.start_host(names[1])
    running.wait_host_ready(names[1])
    _common.wait_until(
        lambda: request_status(running, names[1], running.keys["ben"]) == 200,
        description="the restarted host serves",
    )
    print("the killed host was restarted and serves", flush=True)
    status = request_status(running, names[1], running.keys["eve"])
    print(f"withdrawn key at the restarted host: {status}", flush=True)
    time.sleep(interval)
    running.hosts[names[2]].freeze()
    time.sleep(10.0)
    running.hosts[names[2]].unfreeze()
    print("another host was paused for 10 s", flush=True)


def main(seconds: float) -> int:
    """Runs the measurement; returns 1 if any condition was violated, else 0.

    Args:
        seconds: Duration of the load.
    """
    document = _deployments.declarations(ACCOUNTS)
    with _deployments.deployment(
        9, 6, 9, "--journal", document=document, proxied=True
    ) as running:
        _deployments.wait_hosts_listed(running)
        names = list(running.host_specs)
        calls_before = running.control()["calls"]
        running.control(outage="hang")
        started_at = time.monotonic()
        callers = _callers.Callers(running, 1)
        load = threading.Thread(
            target=callers.run,
            args=(TRAFFIC, lambda: time.monotonic() > started_at + seconds),
        )
        load.start()
        faults = threading.Thread(
            target=inject_faults, args=(running, names, seconds / 5)
        )
        faults.start()
        while load.is_alive():
            since = time.monotonic()
            load.join(min(60.0, seconds))
            report(callers, since)
        faults.join()
        callers.finish()
        print(
            f"platform calls before the outage {calls_before}, including the"
            f" outage {running.control()['calls']}"
        )
        running.control(outage="")
        since = time.monotonic()
        keys_path = "/-/objects/steeringobjects/keys.eve"
        _common.wait_until(
            lambda: (
                "withdrawn"
                in _common.fetch_json(running.platform.url(keys_path))["spec"][
                    "digests"
                ].values()
            )
        )
        print(
            "withdrawal written to the platform"
            f" {time.monotonic() - since:.1f} s after the outage"
        )
        checker = _invariants.InvariantChecker(
            running, callers.attempts, ACCOUNTS, max_pause_seconds=10.0
        )
        violations = checker.check_all()
        print(f"attempts {len(callers.attempts)} starts {len(checker.starts)}")
        print("violations", violations or "none", flush=True)
    return bool(violations)


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]) if len(sys.argv) > 1 else 600.0))
