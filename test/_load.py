"""Open-loop load from one process: arrivals by schedule, seeded."""

from collections.abc import Callable
import concurrent.futures
import random
import threading
import time
from typing import Any
from typing import NamedTuple

import urllib3

from test import _common

THREADS = 256


class Seen(NamedTuple):
    """What a caller saw of one request.

    Attributes:
        account: Client account.
        host: Host that was asked.
        sent_at: Monotonic instant of sending.
        seconds: Time until the whole answer was there.
        status: HTTP status; 0 for a broken connection.
        code: Result code of a refusal, or 0.
        ran: What a refusal said, "yes" for an answer, else "unknown".
        path: Path and query asked for.
    """

    account: str
    host: str
    sent_at: float
    seconds: float
    status: int
    code: int
    ran: str
    path: str


class Stream(NamedTuple):
    """Requests of one account.

    Attributes:
        account: Client account.
        rate: Requests a second, evenly spaced with some jitter.
        host: Returns the host for a request by its number.
        path: Path and query.
        method: HTTP method.
    """

    account: str
    rate: float
    host: Callable[[int], str]
    path: str = "/contracts"
    method: str = "GET"


def send(
    running: _common.Deployment,
    host: str,
    stream: Stream,
    headers: dict[str, str] | None = None,
) -> Seen:
    """Sends one request and notes what came back."""
    sent_at = time.monotonic()
    status, code, ran = 0, 0, "unknown"
    try:
        answer = running.call(
            host,
            stream.method,
            stream.path,
            stream.account,
            headers=headers,
            timeout=15.0,
        )
        status = answer.status
        code = int(answer.headers.get("Gooseberryweir-Code", 0))
        ran = answer.headers.get("Gooseberryweir-Ran", "yes")
    except (urllib3.exceptions.HTTPError, OSError):
        pass
    seconds = time.monotonic() - sent_at
    return Seen(
        stream.account, host, sent_at, seconds, status, code, ran, stream.path
    )


def run(
    running: _common.Deployment,
    streams: list[Stream],
    seconds: float,
    seed: int = 1,
    faults: Callable[[], Any] | None = None,
) -> list[Seen]:
    """Runs streams for some seconds, with faults beside them.

    Args:
        running: The deployment.
        streams: What to send.
        seconds: How long to send.
        seed: Seed of the jitter of arrivals.
        faults: Called in a thread of its own at the start.
    """
    source = random.Random(seed)
    plan = sorted(
        (
            ((number + source.random()) / stream.rate, order, number, stream)
            for order, stream in enumerate(streams)
            for number in range(int(seconds * stream.rate))
        ),
        key=lambda item: item[:3],
    )
    began = time.monotonic()
    thread = threading.Thread(target=faults) if faults else None
    if thread:
        thread.start()
    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        futures = []
        for at, _, number, stream in plan:
            time.sleep(max(0.0, began + at - time.monotonic()))
            host = stream.host(number)
            futures.append(pool.submit(send, running, host, stream))
        seen = [future.result() for future in futures]
    if thread:
        thread.join()
    return seen


def worst_excess(times: list[float], rate: float, burst: int) -> float:
    """Returns by how much any window passed burst + rate x length.

    Args:
        times: Instants of runs, seconds.
        rate: Runs a second allowed.
        burst: Further runs allowed in any window.
    """
    worst = -float(burst)
    # In the window from run i to run j: j - i + 1 <= burst + rate * (tj - ti).
    least = float("inf")
    for position, at in enumerate(sorted(times)):
        least = min(least, position - rate * at)
        worst = max(worst, position - rate * at - least + 1 - burst)
    return worst
