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
LEAST_WAIT_WORKS = 0.75
# Ranks of importance up to which waits are told apart.
MAX_IMPORTANCE = 4
# Part of the longest wait that each rank of less importance gives up.
IMPORTANCE_STEP = 0.25
# Waits that are told to callers, in seconds: longer than a moment's queue, and
# short enough that most callers can come back in their time.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.5


def longest_wait(
    objective: float, service_time: float, mean_work: float, importance: int
) -> float:
    """Returns the longest wait, in seconds, that a request is queued for.

    Args:
        objective: Latency objective of its class.
        service_time: Seconds that it takes without a wait.
        mean_work: Seconds that the work before it takes.
        importance: Its rank; 0 is the most important.
    """
    room = max(objective - service_time, LEAST_WAIT_WORKS * mean_work)
    rank = min(max(importance, 0), MAX_IMPORTANCE)
    return room * (1 + IMPORTANCE_STEP) / (1 + IMPORTANCE_STEP * rank)


def retry_after(wait: float, chance: float) -> float:
    """Returns when a caller should come back, spread over the wait.

    Args:
        wait: Seconds that it would have waited.
        chance: A random number from 0 to 1.
    """
    seconds = wait * (0.5 + chance)
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
