"""Cost of one change, and of rest, against the number of hosts.

Usage: python -m bench.change_propagation [HOSTS ...].

All hosts are in one region, so more
than nine form the tree below three relays. A change is one write of the
drains object; it is in force at a host when its log says so.
"""

import datetime
import re
import statistics
import sys
import time
from typing import NamedTuple

from bench import usage
from gooseberryweir.process.membership import neighbours
from test import _common
from test import _fleet

SIZES = (3, 9, 27, 81)
REST_SECONDS = 10.0
# Longer than a host keeps watching the platform that was no relay at its start.
SETTLE_SECONDS = 32.0
SHORT_SETTLE_SECONDS = 5.0
CHANGES = 20
CHANGE_SECONDS = 0.5
TARGET_SECONDS = 9.0
REGIONS: _fleet.Regions = {"north": ("north-a", "north-b")}
IN_FORCE = re.compile(
    r"^(\S+ \S+) .*event=object-in-force object=steeringobjects/drains"
    r" version=(\d+)$",
    re.MULTILINE,
)


class Phase(NamedTuple):
    """What was used in one phase of a run.

    Attributes:
        seconds: Its duration.
        used: What each host used.
        calls: Calls to the platform by kind and verb.
    """

    seconds: float
    used: list[usage.Usage]
    calls: dict[str, int]


def in_force(process: _common.Process) -> dict[int, float]:
    """Returns when each version of the drains came in force, epoch seconds."""
    times: dict[int, float] = {}
    for stamp, version in IN_FORCE.findall(process.text()):
        at = datetime.datetime.strptime(stamp, "%Y-%m-%d %H:%M:%S,%f")
        times.setdefault(int(version), at.timestamp())
    return times


def change(running: _common.Deployment) -> dict[int, float]:
    """Writes the drains some times; returns when, by version."""
    written = {}
    for number in range(CHANGES):
        at = time.time()
        drains = {f"upstream/none-{number}": True}
        answer = running.control(
            put={
                "kind": "steeringobjects",
                "name": "drains",
                "spec": {"id": str(number), "drains": drains},
            }
        )
        written[answer["version"]] = at
        time.sleep(CHANGE_SECONDS)
    return written


def run_phase(running: _common.Deployment, action: object) -> Phase:
    """Measures what all hosts use while an action runs."""
    pids = [process.pid for process in running.hosts.values()]
    calls = running.control()["calls"]
    before, began = usage.measure(pids), time.monotonic()
    action()  # type: ignore[operator]
    after, seconds = usage.measure(pids), time.monotonic() - began
    counted = {
        verb: count - calls.get(verb, 0)
        for verb, count in running.control()["calls"].items()
    }
    return Phase(seconds, usage.between(before, after), counted)


def rates(phase: Phase) -> tuple[float, float, float, float]:
    """Returns mean CPU %, the highest, and mean bytes/s out and in."""
    cpu = [100 * each.cpu_seconds / phase.seconds for each in phase.used]
    sent = statistics.mean(each.sent for each in phase.used)
    received = statistics.mean(each.received for each in phase.used)
    return (
        statistics.mean(cpu),
        max(cpu),
        sent / phase.seconds,
        received / phase.seconds,
    )


def converged(running: _common.Deployment) -> bool:
    """Returns whether every host logged the drains of the start."""
    return all(in_force(process) for process in running.hosts.values())


def describe(name: str, hosts: int, phase: Phase) -> None:
    """Prints one phase."""
    mean, worst, sent, received = rates(phase)
    busiest = max(each.sent for each in phase.used) / phase.seconds
    calls = sum(phase.calls.values()) / phase.seconds
    print(
        f"hosts={hosts} phase={name} cpu_percent={mean:.2f}"
        f" cpu_worst={worst:.2f} out_bytes_s={sent:.0f}"
        f" in_bytes_s={received:.0f} out_worst={busiest:.0f}"
        f" platform_calls_s={calls:.2f}",
        flush=True,
    )


def measure(hosts: int) -> None:
    """Runs one size and prints its rows."""
    document = _fleet.declare(REGIONS, ("contracts",), {"ada": (100.0, 100)})
    deployment = _common.Deployment(REGIONS, document, [], hosts=hosts)
    with deployment as running:
        _common.wait_until(lambda: converged(running), 60.0, "converged")
        large = hosts > neighbours.FULL_MESH_HOSTS
        time.sleep(SETTLE_SECONDS if large else SHORT_SETTLE_SECONDS)
        rest = run_phase(running, lambda: time.sleep(REST_SECONDS))
        describe("rest", hosts, rest)
        written: dict[int, float] = {}
        changing = run_phase(running, lambda: written.update(change(running)))
        describe("change", hosts, changing)
        time.sleep(TARGET_SECONDS)
        report_changes(running, rest, changing, written)


def report_changes(
    running: _common.Deployment,
    rest: Phase,
    changing: Phase,
    written: dict[int, float],
) -> None:
    """Prints cost and delay of one change."""
    share = changing.seconds / rest.seconds
    lasts = []
    missed = 0
    logged = [in_force(process) for process in running.hosts.values()]
    for version, at in written.items():
        reached = [times[version] for times in logged if version in times]
        missed += len(logged) - len(reached)
        lasts.append(max(reached, default=at) - at)

    def extra(total: str) -> float:
        rested = sum(getattr(each, total) for each in rest.used) * share
        busy = sum(getattr(each, total) for each in changing.used)
        return float(busy - rested) / len(written) / len(logged)

    memory = [
        usage.resident_mb(process.pid) for process in running.hosts.values()
    ]
    print(
        f"hosts={len(logged)} changes={len(written)} not_seen={missed}"
        f" last_s_median={statistics.median(lasts):.3f}"
        f" last_s_max={max(lasts):.3f}"
        f" cpu_ms_per_change_and_host={1000 * extra('cpu_seconds'):.2f}"
        f" out_bytes={extra('sent'):.0f} in_bytes={extra('received'):.0f}"
        f" resident_mb={statistics.mean(memory):.1f}",
        flush=True,
    )


def main() -> None:
    """Measures the sizes given, or all."""
    for hosts in [int(each) for each in sys.argv[1:]] or SIZES:
        measure(hosts)


if __name__ == "__main__":
    main()
