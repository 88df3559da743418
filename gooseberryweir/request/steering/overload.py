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
# The same while most work meets cold upstreams: it would be late anyway, and
# each request that runs warms an upstream for the next ones.
COLD_WAIT_WORKS = 3.0
# Mean work over warm work from which upstreams count as mostly cold.
COLD_RATIO = 1.8
# Ranks of importance up to which waits are told apart.
MAX_IMPORTANCE = 4
# Part of the longest wait that each rank of less importance gives up.
IMPORTANCE_STEP = 0.25
# Waits that are told to callers, in seconds: longer than a moment's queue, and
# short enough that most callers can come back in their time.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.5


def longest_wait(
    objective: float, round_trip: float, warm: float, mean: float, rank: int
) -> float:
    """Returns the longest wait, in seconds, that a request is queued for.

    Args:
        objective: Latency objective of its class.
        round_trip: Seconds to the upstream and back.
        warm: Seconds that it takes at a warm upstream.
        mean: Seconds that requests of the service take at present.
        rank: Its importance; 0 is the most important.
    """
    mostly_cold = mean > COLD_RATIO * warm
    works = COLD_WAIT_WORKS if mostly_cold else LEAST_WAIT_WORKS
    room = max(objective - round_trip - warm, works * mean)
    rank = min(max(rank, 0), MAX_IMPORTANCE)
    return room * (1 + IMPORTANCE_STEP) / (1 + IMPORTANCE_STEP * rank)


def retry_after(wait: float, chance: float) -> float:
    """Returns when a caller should come back, spread over the wait.

    Args:
        wait: Seconds that it would have waited.
        chance: A random number from 0 to 1.
    """
    seconds = wait * (0.5 + chance)
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
