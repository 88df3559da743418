"""The platform down for ten minutes in real time, under load.

`python -m bench.outage [SECONDS]` starts nine hosts, takes the platform away,
and while it is away withdraws a key, kills and restarts a host and freezes
another one. It prints what callers saw in each minute and in the end whether
the conditions held.
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

ACCOUNTS = {"ada": (8.0, 4), "ben": (15.0, 10), "eve": (10.0, 10)}
TRAFFIC = [_callers.Traffic("ada", 16.0), _callers.Traffic("ben", 4.0)]


def report(callers: _callers.Callers, since: float) -> None:
    """Prints statuses and codes of what ended lately."""
    seen = [each for each in callers.attempts if each.ended_at >= since]
    counts = collections.Counter((each.status, each.code) for each in seen)
    line = " ".join(
        f"{status}/{code}={count}"
        for (status, code), count in sorted(counts.items())
    )
    print(f"minute answers {line}", flush=True)


def status(running: _common.Deployment, host: str, key: str) -> int:
    """Returns the status that a host answers to a key."""
    address = running.addresses[f"caller:{host}"]
    url = f"http://{address}/contracts/probe"
    return _common.request("GET", url, key=key, timeout=5.0).status


def disturb(running: _common.Deployment, names: list[str], part: float) -> None:
    """Withdraws a key, replaces a host, freezes another one."""
    time.sleep(part)
    address = running.addresses[f"operator:{names[0]}"]
    digest = hashlib.sha256(running.keys["eve"].encode()).hexdigest()
    answer = _common.request(
        "POST",
        f"http://{address}/v1/withdraw",
        body={"digest": digest},
        key=running.operator_token,
    ).json()
    print(f"withdrawn confirmed={len(answer['confirmed'])}", flush=True)
    time.sleep(part)
    running.hosts[names[1]].kill()
    time.sleep(10.0)
    running.start_host(names[1])
    running.wait_host_ready(names[1])
    _common.wait_until(
        lambda: status(running, names[1], running.keys["ben"]) == 200,
        description="the restarted host serves",
    )
    print("killed and restarted: serves", flush=True)
    refused = status(running, names[1], running.keys["eve"])
    print(f"withdrawn key at the restarted host: {refused}", flush=True)
    time.sleep(part)
    running.hosts[names[2]].freeze()
    time.sleep(10.0)
    running.hosts[names[2]].unfreeze()
    print("frozen 10 s and woken", flush=True)


def main(seconds: float) -> int:
    """Runs it; returns 0 if all conditions held."""
    document = _deployments.declarations(ACCOUNTS)
    with _deployments.deployment(
        9, 6, 9, "--journal", document=document, proxied=True
    ) as running:
        _deployments.wait_hosts_listed(running)
        names = list(running.host_specs)
        calls = running.control()["calls"]
        running.control(outage="hang")
        began = time.monotonic()
        callers = _callers.Callers(running, 1)
        load = threading.Thread(
            target=callers.run,
            args=(TRAFFIC, lambda: time.monotonic() > began + seconds),
        )
        load.start()
        faults = threading.Thread(
            target=disturb, args=(running, names, seconds / 5)
        )
        faults.start()
        while load.is_alive():
            since = time.monotonic()
            load.join(min(60.0, seconds))
            report(callers, since)
        faults.join()
        callers.finish()
        print(f"calls before {calls}, during {running.control()['calls']}")
        running.control(outage="")
        since = time.monotonic()
        kind = "/-/objects/steeringobjects/keys.eve"
        _common.wait_until(
            lambda: (
                "withdrawn"
                in _common.fetch_json(running.platform.url(kind))["spec"][
                    "digests"
                ].values()
            )
        )
        print(f"written to the platform {time.monotonic() - since:.1f} s after")
        judged = _invariants.InvariantChecker(
            running, callers.attempts, ACCOUNTS, max_pause_seconds=10.0
        )
        violations = judged.check_all()
        print(f"attempts {len(callers.attempts)} starts {len(judged.starts)}")
        print("violations", violations or "none", flush=True)
    return bool(violations)


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]) if len(sys.argv) > 1 else 600.0))
