"""Sends the metrics that operators monitor to a statsd server.

Each metric is sent as one UDP datagram without waiting, so an unavailable
statsd server delays nothing; only the metrics sent to it are lost.
"""

from collections.abc import Callable
from typing import NamedTuple

import statsd

PREFIX = "gooseberryweir"


class Metrics(NamedTuple):
    """Functions that record a metric by its name.

    Attributes:
        increment: Adds 1 to a counter.
        timing: Records a duration in milliseconds.
        gauge: Sets the value of a gauge.
    """

    increment: Callable[[str], None]
    timing: Callable[[str, float], None]
    gauge: Callable[[str, float], None]


def no_metrics() -> Metrics:
    """Returns functions that discard all metrics."""
    return Metrics(
        lambda _name: None,
        lambda _name, _milliseconds: None,
        lambda _name, _level: None,
    )


def open_metrics(address: str) -> Metrics:
    """Returns functions that send metrics to a statsd server.

    Args:
        address: Address of the server, `IP:PORT`; metrics are discarded if
            empty.
    """
    if not address:
        return no_metrics()
    host, _, port = address.rpartition(":")
    client = statsd.StatsClient(host, int(port), prefix=PREFIX)
    return Metrics(client.incr, client.timing, client.gauge)
