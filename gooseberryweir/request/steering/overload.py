"""Decides at once which requests an overloaded service can't serve in time.

A queue that is longer than the objectives allow serves everybody late and
nobody sooner. A request that would wait longer than its objective leaves room
for is turned away at once (as CoDel does with packets, but by the expected
wait and before it is queued). The most important work may wait longest, so
less important work is turned away first.

Source: Nichols and Jacobson, "Controlling queue delay", 2012.
"""

# Waits that are always allowed, in units of the mean work: they even out how
# requests happen to come together.
MIN_WAIT_MULTIPLE = 0.75
# The same while most work meets cold upstreams: it would be late anyway, and
# each request that runs warms an upstream for the next ones.
COLD_MIN_WAIT_MULTIPLE = 3.0
# Mean work over warm work from which upstreams count as mostly cold.
MOSTLY_COLD_RATIO = 1.8
# Ranks of importance up to which waits are told apart.
MAX_IMPORTANCE_RANK = 4
# Part of the longest wait that each rank of less importance gives up.
IMPORTANCE_STEP = 0.25
# Waits that are told to callers, in seconds: longer than a moment's queue, and
# short enough that most callers can come back in their time.
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 1.5


def max_queue_wait(
    objective: float,
    round_trip: float,
    warm_seconds: float,
    mean_seconds: float,
    importance: int,
) -> float:
    """Returns the longest wait, in seconds, that a request is queued for.

    Args:
        objective: Latency objective of its class.
        round_trip: Seconds to the upstream and back.
        warm_seconds: Seconds that it takes at a warm upstream.
        mean_seconds: Seconds that requests of the service take at present.
        importance: Its importance; 0 is the most important.
    """
    mostly_cold = mean_seconds > MOSTLY_COLD_RATIO * warm_seconds
    min_multiple = COLD_MIN_WAIT_MULTIPLE if mostly_cold else MIN_WAIT_MULTIPLE
    allowed_wait = max(
        objective - round_trip - warm_seconds, min_multiple * mean_seconds
    )
    importance = min(max(importance, 0), MAX_IMPORTANCE_RANK)
    return (
        allowed_wait
        * (1 + IMPORTANCE_STEP)
        / (1 + IMPORTANCE_STEP * importance)
    )


def retry_after(wait: float, jitter: float) -> float:
    """Returns when a caller should come back, spread over the wait.

    Args:
        wait: Seconds that it would have waited.
        jitter: A random number from 0 to 1.
    """
    seconds = wait * (0.5 + jitter)
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
