"""Cost and delay of propagating a change, by the number of hosts.

Usage: python -m bench.change_propagation [HOSTS ...]. All hosts are in one
region, so a fleet of more than nine forms a tree below three relays, the hosts
that watch the platform for the others. A change is one write of the drains
object, which names the drained upstreams and regions; it has reached a host
when the host logs the new version as active. The cost of an idle fleet is
measured for comparison.
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

HOST_COUNTS = (3, 9, 27, 81)
IDLE_SECONDS = 10.0
# Longer than the time for which a host that is not a relay watches the
# platform after its start.
TREE_SETTLE_SECONDS = 32.0
FULL_MESH_SETTLE_SECONDS = 5.0
CHANGE_COUNT = 20
CHANGE_INTERVAL_SECONDS = 0.5
# The hosts' logs are read this long after the last write. A version that a log
# lacks then is counted as `not_seen`.
MAX_PROPAGATION_SECONDS = 9.0
REGIONS: _fleet.Regions = {"north": ("north-a", "north-b")}
# Log line of a host that activates a version of the drains object.
ACTIVATION_PATTERN = re.compile(
    r"^(\S+ \S+) .*event=object-in-force object=steeringobjects/drains"
    r" version=(\d+)$",
    re.MULTILINE,
)


class Phase(NamedTuple):
    """Resources used in one phase of a run.

    Attributes:
        seconds: Duration of the phase.
        used: Resources that each host used.
        calls: Number of calls to the platform by kind and verb.
    """

    seconds: float
    used: list[usage.Usage]
    calls: dict[str, int]


def activation_times(process: _common.Process) -> dict[int, float]:
    """Returns when a host activated each version of the drains object.

    Returns:
        Seconds since the epoch by version, from the log of the host.
    """
    times: dict[int, float] = {}
    for timestamp, version in ACTIVATION_PATTERN.findall(process.output()):
        at = datetime.datetime.strptime(timestamp, "%Y-%m-%d %H:%M:%S,%f")
        times.setdefault(int(version), at.timestamp())
    return times


def write_changes(running: _common.Deployment) -> dict[int, float]:
    """Writes the drains object `CHANGE_COUNT` times.

    Returns:
        Time just before each write, seconds since the epoch, by version.
    """
    written_at = {}
    for number in range(CHANGE_COUNT):
        at = time.time()
        drains = {f"upstream/none-{number}": True}
        answer = running.control(
            put={
                "kind": "steeringobjects",
                "name": "drains",
                "spec": {"id": str(number), "drains": drains},
            }
        )
        written_at[answer["version"]] = at
        time.sleep(CHANGE_INTERVAL_SECONDS)
    return written_at


def run_phase(running: _common.Deployment, action: object) -> Phase:
    """Measures the resources that all hosts use while a function runs.

    Args:
        running: The deployment.
        action: Function without arguments.
    """
    pids = [process.pid for process in running.hosts.values()]
    calls = running.control()["calls"]
    before, started_at = usage.measure(pids), time.monotonic()
    action()  # type: ignore[operator]
    after, seconds = usage.measure(pids), time.monotonic() - started_at
    new_calls = {
        verb: count - calls.get(verb, 0)
        for verb, count in running.control()["calls"].items()
    }
    return Phase(seconds, usage.differences(before, after), new_calls)


def resource_rates(phase: Phase) -> tuple[float, float, float, float]:
    """Returns the rates of processor time and traffic of the hosts.

    Returns:
        Mean processor time of a host in percent of a core, the highest value of
        any host, and mean bytes per second sent and received by a host.
    """
    cpu_percents = [
        100 * each.cpu_seconds / phase.seconds for each in phase.used
    ]
    sent = statistics.mean(each.sent for each in phase.used)
    received = statistics.mean(each.received for each in phase.used)
    return (
        statistics.mean(cpu_percents),
        max(cpu_percents),
        sent / phase.seconds,
        received / phase.seconds,
    )


def converged(running: _common.Deployment) -> bool:
    """Returns True if every host has activated any version of the drains."""
    return all(activation_times(process) for process in running.hosts.values())


def print_phase(name: str, hosts: int, phase: Phase) -> None:
    """Prints a row with the resource use of one phase.

    Args:
        name: Name of the phase.
        hosts: Number of hosts.
        phase: Resources used in the phase.
    """
    mean_cpu, max_cpu, sent, received = resource_rates(phase)
    max_sent = max(each.sent for each in phase.used) / phase.seconds
    calls = sum(phase.calls.values()) / phase.seconds
    print(
        f"hosts={hosts} phase={name} cpu_percent={mean_cpu:.2f}"
        f" cpu_worst={max_cpu:.2f} out_bytes_s={sent:.0f}"
        f" in_bytes_s={received:.0f} out_worst={max_sent:.0f}"
        f" platform_calls_s={calls:.2f}",
        flush=True,
    )


def measure(hosts: int) -> None:
    """Measures a fleet with a number of hosts and prints its rows."""
    document = _fleet.declare(REGIONS, ("contracts",), {"ada": (100.0, 100)})
    deployment = _common.Deployment(REGIONS, document, [], hosts=hosts)
    with deployment as running:
        _common.wait_until(lambda: converged(running), 60.0, "converged")
        has_tree = hosts > neighbours.MAX_FULL_MESH_HOSTS
        time.sleep(
            TREE_SETTLE_SECONDS if has_tree else FULL_MESH_SETTLE_SECONDS
        )
        idle = run_phase(running, lambda: time.sleep(IDLE_SECONDS))
        print_phase("rest", hosts, idle)
        written_at: dict[int, float] = {}
        changing = run_phase(
            running, lambda: written_at.update(write_changes(running))
        )
        print_phase("change", hosts, changing)
        time.sleep(MAX_PROPAGATION_SECONDS)
        report_changes(running, idle, changing, written_at)


def report_changes(
    running: _common.Deployment,
    idle: Phase,
    changing: Phase,
    written_at: dict[int, float],
) -> None:
    """Prints the mean cost of a change and the delay until all hosts have it.

    Args:
        running: The deployment.
        idle: Resources used while the fleet was idle.
        changing: Resources used while the changes were written.
        written_at: Time just before each write, seconds since the epoch, by
            version.
    """
    duration_ratio = changing.seconds / idle.seconds
    delays = []
    missing = 0
    activated = [
        activation_times(process) for process in running.hosts.values()
    ]
    for version, at in written_at.items():
        reached = [times[version] for times in activated if version in times]
        missing += len(activated) - len(reached)
        delays.append(max(reached, default=at) - at)

    def extra_use(attribute: str) -> float:
        """Returns the use above that of an idle fleet, per change and host."""
        idle_use = (
            sum(getattr(each, attribute) for each in idle.used) * duration_ratio
        )
        use = sum(getattr(each, attribute) for each in changing.used)
        return float(use - idle_use) / len(written_at) / len(activated)

    resident_mb = [
        usage.resident_mb(process.pid) for process in running.hosts.values()
    ]
    print(
        f"hosts={len(activated)} changes={len(written_at)} not_seen={missing}"
        f" last_s_median={statistics.median(delays):.3f}"
        f" last_s_max={max(delays):.3f}"
        f" cpu_ms_per_change_and_host={1000 * extra_use('cpu_seconds'):.2f}"
        f" out_bytes={extra_use('sent'):.0f}"
        f" in_bytes={extra_use('received'):.0f}"
        f" resident_mb={statistics.mean(resident_mb):.1f}",
        flush=True,
    )


def main() -> None:
    """Measures the numbers of hosts given as arguments, or the default ones."""
    for hosts in [int(each) for each in sys.argv[1:]] or HOST_COUNTS:
        measure(hosts)


if __name__ == "__main__":
    main()
