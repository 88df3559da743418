"""Measures how fast key withdrawals and configuration changes take effect.

Usage: python -m bench.withdrawal [--runs N] [--faults NAME ...] [--kind KIND]

Both are measured under various faults. A request counts as admitted if the host
accepted its key and path, even if it was then refused because of the rate limit
or because no slot was free.

For a key, the result is the time from just before its withdrawal is sent to the
last answer to an admitted request with the key. For the configuration, times
count from just before the new version is written. The first result is the time
to the last answer to an admitted request on a route that only the old version
has. The second one is the time until the slowest host admits a request on a
route that only the new version has; hosts that admit none are left out.
"""

import argparse
from collections.abc import Callable
import copy
import random
import statistics
import sys
import time
from typing import Any

from test import _common
from test import _deployments
from test import _probe

# Results that reach these times are counted as `over`.
KEY_WITHDRAWAL_BOUND_SECONDS = 5.0
CONFIGURATION_CHANGE_BOUND_SECONDS = 9.0
# Each change is delayed by a random time up to this one, so that it comes at
# any point of the hosts' periodic work.
MAX_CHANGE_DELAY_SECONDS = 1.0
SEED = 5


def no_fault(running: _common.Deployment, host: str) -> None:
    """Injects no fault."""


def cut_from_platform_and_peers(running: _common.Deployment, host: str) -> None:
    """Cuts a host off from the platform and its peers."""
    _probe.cut_from_platform(running, host)
    _probe.cut_from_peers(running, host)


def hang_platform(running: _common.Deployment, host: str) -> None:
    """Makes the platform accept calls without answering them."""
    running.control(outage="hang")


def restart_host(running: _common.Deployment, host: str) -> None:
    """Kills and restarts a host, without waiting until it is ready."""
    running.hosts[host].kill()
    running.start_host(host)


def delay_watch_events(running: _common.Deployment, host: str) -> None:
    """Delays watch events by 60 s, far more than any bound."""
    running.control(watch_late_ms=60_000)


FAULTS: dict[str, Callable[[_common.Deployment, str], None]] = {
    "plain": no_fault,
    "cut-from-platform": _probe.cut_from_platform,
    "cut-from-both": cut_from_platform_and_peers,
    "platform-down": hang_platform,
    "host-starting": restart_host,
    "watch-late": delay_watch_events,
}


def measure_key(
    running: _common.Deployment,
    keys: _probe.AccountKeys,
    rng: random.Random,
    fault: str,
    name: str,
) -> tuple[float, ...]:
    """Withdraws a new key under a fault.

    Args:
        running: The deployment.
        keys: Keys of one client account.
        rng: Source of the random delay before the change.
        fault: Name of the fault.
        name: Name of the run, used in the path.

    Returns:
        Seconds until the last answer to a request admitted with the key.
    """
    host, peer = list(running.host_specs)[:2]
    path = f"/contracts/{name}"
    key = keys.issue()
    with _probe.Prober(running, key, (path,)) as prober:
        prober.wait_accepted(path)
        FAULTS[fault](running, host)
        time.sleep(rng.uniform(0, MAX_CHANGE_DELAY_SECONDS))
        if fault == "platform-down":
            withdrawn_at = keys.withdraw_at_host(key, peer)
        else:
            withdrawn_at = keys.withdraw_in_platform(key)
        if fault == "host-starting":
            running.wait_host_ready(host)
        prober.wait_refused(path)
        _probe.remove_faults(running)
        prober.wait_refused(path)
    return (prober.last_admitted(path) - withdrawn_at,)


def add_route(running: _common.Deployment, path: str) -> float:
    """Writes the declarations with one additional route.

    Returns:
        Monotonic time just before the write, seconds.
    """
    document = copy.deepcopy(running.declarations)
    document["routes"].append({**document["routes"][0], "path": path})
    written_at = time.monotonic()
    spec = {"id": "bench", "declarations": document}
    running.put("steeringobjects", "config", spec)
    return written_at


def measure_configuration(
    running: _common.Deployment,
    keys: _probe.AccountKeys,
    rng: random.Random,
    fault: str,
    name: str,
) -> tuple[float, ...]:
    """Replaces a route of the configuration by another one under a fault.

    Args:
        running: The deployment.
        keys: Not used; for the same signature as `measure_key`.
        rng: Source of the random delay before the change.
        fault: Name of the fault.
        name: Name of the run, used in the paths of the routes.

    Returns:
        Seconds until the last answer to a request admitted on the old route,
        and until the slowest host admitted a request on the new one.
    """
    host = next(iter(running.host_specs))
    old, new = f"/old-{name}", f"/new-{name}"
    with _probe.Prober(running, running.keys["ben"], (old, new)) as prober:
        add_route(running, old)
        prober.wait_accepted(old)
        FAULTS[fault](running, host)
        time.sleep(rng.uniform(0, MAX_CHANGE_DELAY_SECONDS))
        written_at = add_route(running, new)
        if fault == "host-starting":
            running.wait_host_ready(host)
        prober.wait_refused(old)
        first_admitted = dict[str, float]()
        for sample in list(prober.samples):
            if sample.path == new and sample.admitted:
                first_admitted.setdefault(sample.host, sample.sent_at)
        _probe.remove_faults(running)
        prober.wait_accepted(new)
    old_seconds = prober.last_admitted(old) - written_at
    return (old_seconds, max(first_admitted.values()) - written_at)


def report(label: str, seconds: list[float], bound: float) -> None:
    """Prints median and maximum of the times, and how many reach the bound."""
    sys.stdout.write(
        f"{label:42s} runs={len(seconds):3d}"
        f" median={statistics.median(seconds):.2f}"
        f" worst={max(seconds):.2f} bound={bound:g}"
        f" over={sum(each >= bound for each in seconds)}\n"
    )
    sys.stdout.flush()


def run(kind: str, fault: str, runs: int) -> None:
    """Measures one kind of change under one fault and prints the times.

    Args:
        kind: "key" or "configuration".
        fault: Name of the fault.
        runs: Number of changes.
    """
    rng = random.Random(SEED)
    measure: Any = measure_key
    labels, bound = (
        ["last admitted with the key"],
        KEY_WITHDRAWAL_BOUND_SECONDS,
    )
    if kind == "configuration":
        measure, bound = (
            measure_configuration,
            CONFIGURATION_CHANGE_BOUND_SECONDS,
        )
        labels = ["last on the old route", "first on the new route"]
    with _deployments.deployment(3, 3, 9, proxied=True) as running:
        _deployments.wait_serving(running)
        keys = _probe.AccountKeys(running, "ada")
        times = [
            measure(running, keys, rng, fault, f"{number}")
            for number in range(runs)
        ]
    for index, label in enumerate(labels):
        seconds = [each[index] for each in times]
        report(f"{kind} {fault}: {label}", seconds, bound)


def main() -> None:
    """Parses the arguments and runs the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--kind", choices=["key", "configuration"])
    parser.add_argument("--faults", nargs="*", default=list(FAULTS))
    arguments = parser.parse_args()
    kinds = [arguments.kind] if arguments.kind else ["key", "configuration"]
    for kind in kinds:
        for fault in arguments.faults:
            if (kind, fault) != ("configuration", "platform-down"):
                run(kind, fault, arguments.runs)


if __name__ == "__main__":
    main()
