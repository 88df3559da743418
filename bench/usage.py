"""Measures processor time, memory and TCP traffic of processes."""

from collections.abc import Iterable
import pathlib
import re
import subprocess
from typing import NamedTuple

PID_PATTERN = re.compile(r"pid=(\d+)")
SENT_PATTERN = re.compile(r"\bbytes_sent:(\d+)")
RECEIVED_PATTERN = re.compile(r"\bbytes_received:(\d+)")


class Usage(NamedTuple):
    """Resources that a process has used, in total or between two measurements.

    Attributes:
        cpu_seconds: Processor time.
        sent: Bytes sent on the TCP connections that are open.
        received: Bytes received on the TCP connections that are open.
    """

    cpu_seconds: float
    sent: int
    received: int


def cpu_seconds(pid: int) -> float:
    """Returns the processor time of a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB (10^6 bytes)."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * 4096 / 1e6


def measure(pids: Iterable[int]) -> dict[int, Usage]:
    """Returns the total usage of processes so far, by process id."""
    connections = subprocess.run(
        ["ss", "-tinpHO", "state", "established"],
        capture_output=True,
        check=True,
        text=True,
    ).stdout.splitlines()
    traffic = {pid: [0, 0] for pid in pids}
    for line in connections:
        owner = PID_PATTERN.search(line)
        if owner is None or int(owner.group(1)) not in traffic:
            continue
        totals = traffic[int(owner.group(1))]
        for index, pattern in enumerate((SENT_PATTERN, RECEIVED_PATTERN)):
            match = pattern.search(line)
            totals[index] += int(match.group(1)) if match else 0
    return {
        pid: Usage(cpu_seconds(pid), *totals) for pid, totals in traffic.items()
    }


def differences(
    before: dict[int, Usage], after: dict[int, Usage]
) -> list[Usage]:
    """Returns the usage of each process between two measurements."""
    return [
        Usage(*(new - old for new, old in zip(after[pid], used, strict=True)))
        for pid, used in before.items()
    ]


def fit(sizes: list[float], values: list[float]) -> tuple[float, float]:
    """Fits a line by least squares; returns its slope and intercept."""
    count = len(sizes)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    variation = sum((size - mean_size) ** 2 for size in sizes)
    covariation = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    slope = covariation / variation
    return slope, mean_value - slope * mean_size
