"""Refuses requests that an overloaded service can't answer in time.

A queue that is longer than the latency objectives allow makes every request
late and serves none sooner. A request whose expected wait exceeds its limit is
therefore refused at once. CoDel drops packets for the same reason; here the
decision uses the expected wait and is made before the request is queued. The
most important requests may wait longest, so less important ones are refused
first.

Source: Nichols and Jacobson, "Controlling queue delay", 2012.
"""

# Wait that is always allowed, as a multiple of the mean processing time; it
# absorbs short bursts.
MIN_WAIT_MULTIPLE = 0.75
# The same while the objects of most requests are cold at their upstreams (see
# `placement`): the requests would be late anyway, and each one that runs makes
# its object warm for later ones.
COLD_MIN_WAIT_MULTIPLE = 3.0
# Ratio of mean to warm processing time above which the objects of most requests
# are assumed to be cold.
COLD_PROCESSING_TIME_RATIO = 1.8
# Less important ranks than this one get the same longest wait as this one.
MAX_IMPORTANCE_RANK = 4
# Increase of the divisor of the longest wait per importance rank, so that less
# important requests wait less. Rank 1 gets the allowed wait unchanged.
IMPORTANCE_STEP = 0.25
# Bounds of Retry-After: the lower one is longer than a short queue lasts, the
# upper one lets most callers retry before their deadline.
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 1.5


def max_queue_wait(
    objective: float,
    round_trip: float,
    warm_seconds: float,
    mean_seconds: float,
    importance: int,
) -> float:
    """Returns the longest expected wait for a slot, seconds, that is accepted.

    Args:
        objective: Latency objective of the route, in seconds.
        round_trip: Seconds to the upstream and back.
        warm_seconds: Processing time of the request where its object is warm.
        mean_seconds: Current mean processing time of the service's requests.
        importance: Importance rank; 0 is the most important.
    """
    mostly_cold = mean_seconds > COLD_PROCESSING_TIME_RATIO * warm_seconds
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
    """Returns the Retry-After delay in seconds: the wait, spread randomly.

    Args:
        wait: Seconds that the request would have waited.
        jitter: A random number from 0 to 1.
    """
    seconds = wait * (0.5 + jitter)
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
