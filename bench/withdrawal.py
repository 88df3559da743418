"""Measures withdrawals of keys and changes of the configuration under faults.

`python -m bench.withdrawal [--runs N] [--faults NAME ...] [--kind KIND]`

For a key: seconds from before its withdrawal is sent to the last answer of a
host that had admitted it; a refusal for its rate or for want of a slot counts
as admitted. For the configuration: seconds from before it is written to the
last such answer on a route that only the older version has, and to the first
on a route that only the newer one has at the slowest host that admits any.
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

KEY_BOUND_SECONDS = 5.0
CONFIGURATION_BOUND_SECONDS = 9.0
# Withdrawals and changes come at a random moment of the hosts' periods.
PHASE_SECONDS = 1.0
SEED = 5


def plain(running: _common.Deployment, host: str) -> None:
    """No fault."""


def cut_from_both(running: _common.Deployment, host: str) -> None:
    """Cuts a host off from the platform and its peers."""
    _probe.cut_from_platform(running, host)
    _probe.cut_from_peers(running, host)


def platform_down(running: _common.Deployment, host: str) -> None:
    """Ends all answers of the platform."""
    running.control(outage="hang")


def host_starting(running: _common.Deployment, host: str) -> None:
    """Starts a host again and does not wait for it."""
    running.hosts[host].kill()
    running.start_host(host)


def watch_late(running: _common.Deployment, host: str) -> None:
    """Delays the events of watches by far more than any bound."""
    running.control(watch_late_ms=60_000)


FAULTS: dict[str, Callable[[_common.Deployment, str], None]] = {
    "plain": plain,
    "cut-from-platform": _probe.cut_from_platform,
    "cut-from-both": cut_from_both,
    "platform-down": platform_down,
    "host-starting": host_starting,
    "watch-late": watch_late,
}


def measure_key(
    running: _common.Deployment,
    keys: _probe.AccountKeys,
    source: random.Random,
    fault: str,
    name: str,
) -> tuple[float, ...]:
    """Withdraws one key under a fault; returns seconds to its last use."""
    host, other = list(running.host_specs)[:2]
    path = f"/contracts/{name}"
    key = keys.issue()
    with _probe.Prober(running, key, (path,)) as prober:
        prober.wait_accepted(path)
        FAULTS[fault](running, host)
        time.sleep(source.uniform(0, PHASE_SECONDS))
        if fault == "platform-down":
            withdrawn_at = keys.withdraw_at_host(key, other)
        else:
            withdrawn_at = keys.withdraw_in_platform(key)
        if fault == "host-starting":
            running.wait_host_ready(host)
        prober.wait_refused(path)
        _probe.remove_faults(running)
        prober.wait_refused(path)
    return (prober.last_admitted(path) - withdrawn_at,)


def declare(running: _common.Deployment, path: str) -> float:
    """Writes declarations with one route more; returns the instant before."""
    document = copy.deepcopy(running.declarations)
    document["routes"].append({**document["routes"][0], "path": path})
    accepted_at = time.monotonic()
    spec = {"id": "bench", "declarations": document}
    running.put("steeringobjects", "config", spec)
    return accepted_at


def measure_configuration(
    running: _common.Deployment,
    keys: _probe.AccountKeys,
    source: random.Random,
    fault: str,
    name: str,
) -> tuple[float, ...]:
    """Changes the configuration; returns both times in seconds."""
    host = next(iter(running.host_specs))
    old, new = f"/old-{name}", f"/new-{name}"
    with _probe.Prober(running, running.keys["ben"], (old, new)) as prober:
        declare(running, old)
        prober.wait_accepted(old)
        FAULTS[fault](running, host)
        time.sleep(source.uniform(0, PHASE_SECONDS))
        accepted_at = declare(running, new)
        if fault == "host-starting":
            running.wait_host_ready(host)
        prober.wait_refused(old)
        firsts = dict[str, float]()
        for sample in list(prober.samples):
            if sample.path == new and sample.admitted:
                firsts.setdefault(sample.host, sample.sent_at)
        _probe.remove_faults(running)
        prober.wait_accepted(new)
    old_seconds = prober.last_admitted(old) - accepted_at
    return (old_seconds, max(firsts.values()) - accepted_at)


def report(label: str, seconds: list[float], bound: float) -> None:
    """Prints the median and the worst of some times."""
    sys.stdout.write(
        f"{label:42s} runs={len(seconds):3d}"
        f" median={statistics.median(seconds):.2f}"
        f" worst={max(seconds):.2f} bound={bound:g}"
        f" over={sum(each >= bound for each in seconds)}\n"
    )
    sys.stdout.flush()


def run(kind: str, fault: str, runs: int) -> None:
    """Measures one kind under one fault and prints the times."""
    source = random.Random(SEED)
    measure: Any = measure_key
    labels, bound = ["last accepted"], KEY_BOUND_SECONDS
    if kind == "configuration":
        measure, bound = measure_configuration, CONFIGURATION_BOUND_SECONDS
        labels = ["older last served", "newer served everywhere"]
    with _deployments.deployment(3, 3, 9, proxied=True) as running:
        _deployments.wait_serving(running)
        keys = _probe.AccountKeys(running, "ada")
        times = [
            measure(running, keys, source, fault, f"{number}")
            for number in range(runs)
        ]
    for index, label in enumerate(labels):
        seconds = [each[index] for each in times]
        report(f"{kind} {fault}: {label}", seconds, bound)


def main() -> None:
    """Parses the arguments and measures."""
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
