"""Load from one process, at sending times drawn from a seed.

The load is open-loop: a request is sent at its time, also if earlier ones have
no answer yet.
"""

from collections.abc import Callable
import concurrent.futures
import random
import threading
import time
from typing import Any
from typing import NamedTuple

import urllib3

from test import _common

THREAD_COUNT = 256


class Result(NamedTuple):
    """Result of one request.

    Attributes:
        account: Client account.
        host: Host that the request was sent to.
        sent_at: Monotonic time of sending, seconds.
        seconds: Time until the answer was complete, seconds.
        status: HTTP status; 0 if the connection failed.
        code: Result code of a refusal (an error answer by a host), or 0.
        ran: Value of the Gooseberryweir-Ran header of a refusal: "no" if no
            upstream began to process the request, "yes" or "unknown"; "yes" for
            any other answer, "unknown" if the connection failed.
        path: Path and query of the request.
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
    """Request load of one account.

    Attributes:
        account: Client account.
        rate: Requests per second, evenly spaced with some jitter.
        host: Function from the number of a request to the name of its host.
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
) -> Result:
    """Sends one request and returns its result."""
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
    return Result(
        stream.account, host, sent_at, seconds, status, code, ran, stream.path
    )


def run(
    running: _common.Deployment,
    streams: list[Stream],
    seconds: float,
    seed: int = 1,
    faults: Callable[[], Any] | None = None,
) -> list[Result]:
    """Sends the requests of streams, and injects faults at the same time.

    Args:
        running: The running deployment.
        streams: The streams.
        seconds: Duration of the load, seconds.
        seed: Seed of the jitter of arrivals.
        faults: Function that injects faults; called at the start in a thread
            of its own.

    Returns:
        The results in the order of sending.
    """
    rng = random.Random(seed)
    arrivals = sorted(
        (
            ((number + rng.random()) / stream.rate, index, number, stream)
            for index, stream in enumerate(streams)
            for number in range(int(seconds * stream.rate))
        ),
        key=lambda item: item[:3],
    )
    started_at = time.monotonic()
    thread = threading.Thread(target=faults) if faults else None
    if thread:
        thread.start()
    with concurrent.futures.ThreadPoolExecutor(THREAD_COUNT) as pool:
        futures = []
        for at, _, number, stream in arrivals:
            time.sleep(max(0.0, started_at + at - time.monotonic()))
            host = stream.host(number)
            futures.append(pool.submit(send, running, host, stream))
        results = [future.result() for future in futures]
    if thread:
        thread.join()
    return results


def worst_excess(times: list[float], rate: float, burst: int) -> float:
    """Returns by how many runs the worst time window exceeds its limit.

    The limit of a window is burst + rate x duration.

    Args:
        times: Times of the starts of runs, seconds.
        rate: Allowed runs per second.
        burst: Allowed runs in any window in addition to the rate.

    Returns:
        Number of runs above the limit in the worst window; 0 or negative if no
        window exceeds it.
    """
    worst = -float(burst)
    # In the window from run i to run j: j - i + 1 <= burst + rate * (tj - ti).
    least = float("inf")
    for position, at in enumerate(sorted(times)):
        least = min(least, position - rate * at)
        worst = max(worst, position - rate * at - least + 1 - burst)
    return worst
