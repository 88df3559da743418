"""Metrics for statsd: what the users measure.

Sending is one UDP datagram without waiting; a statsd that is down costs
nothing and loses only its own figures.
"""

from collections.abc import Callable
from typing import NamedTuple

import statsd

PREFIX = "gooseberryweir"


class Metrics(NamedTuple):
    """The kinds of figures.

    Attributes:
        increment: Adds 1 to a counter.
        timing: Records a duration in milliseconds.
        gauge: Sets a level.
    """

    increment: Callable[[str], None]
    timing: Callable[[str, float], None]
    gauge: Callable[[str, float], None]


def no_metrics() -> Metrics:
    """Returns metrics that go nowhere."""
    return Metrics(
        lambda _name: None,
        lambda _name, _milliseconds: None,
        lambda _name, _level: None,
    )


def open_metrics(address: str) -> Metrics:
    """Returns metrics for a statsd address, IP:PORT; empty for none."""
    if not address:
        return no_metrics()
    host, _, port = address.rpartition(":")
    client = statsd.StatsClient(host, int(port), prefix=PREFIX)
    return Metrics(client.incr, client.timing, client.gauge)
