"""Refuses requests that an overloaded service can't answer in time.

A queue that is longer than the latency objectives allow makes every request
late and serves none sooner. A request whose expected wait exceeds its limit is
therefore refused at once. CoDel drops packets for the same reason; here the
decision uses the expected wait and is made before the request is queued. The
most important requests may wait longest, so less important ones are refused
first.

Source: Nichols and Jacobson, "Controlling queue delay", 2012.
"""

# The longest allowed wait, before it is scaled by importance, is at least this
# multiple of the mean processing time, so that short bursts are not refused.
MIN_WAIT_PROCESSING_TIME_RATIO = 0.75
# Requests of less important ranks than this one (higher numbers) get the same
# longest wait as those of this rank.
MAX_IMPORTANCE_RANK = 4
# The longest wait is divided by 1 + RANK_WAIT_DIVISOR_STEP * rank, so that less
# important requests wait less, and scaled so that rank 1 gets it unchanged.
RANK_WAIT_DIVISOR_STEP = 0.25
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
    """Returns the longest accepted expected wait for a slot, in seconds.

    A slot is the place of one running request at an upstream. A request with a
    longer expected wait is refused.

    Args:
        objective: Latency objective of the route, in seconds.
        round_trip: Seconds to the upstream and back.
        warm_seconds: Processing time of the request where its object is warm.
        mean_seconds: Current mean processing time of the service's requests.
        importance: Importance rank; 0 is the most important.
    """
    allowed_wait = max(
        objective - round_trip - warm_seconds,
        MIN_WAIT_PROCESSING_TIME_RATIO * mean_seconds,
    )
    importance = min(max(importance, 0), MAX_IMPORTANCE_RANK)
    return (
        allowed_wait
        * (1 + RANK_WAIT_DIVISOR_STEP)
        / (1 + RANK_WAIT_DIVISOR_STEP * importance)
    )


def retry_after(wait: float, jitter: float) -> float:
    """Returns the Retry-After delay in seconds.

    It is the wait times a random factor from 0.5 to 1.5, within fixed bounds.

    Args:
        wait: Seconds that the request would have waited.
        jitter: A random number from 0 to 1.
    """
    seconds = wait * (0.5 + jitter)
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
