"""Tracks the processing times of requests, without the wait for a slot.

A slot is the place of one running request at an upstream. Times of requests
whose object was warm and of those whose object was cold are tracked separately
(see `placement`).
"""

from gooseberryweir.request.steering import placement
from gooseberryweir.version import traffic

# Weight of the newest sample in a moving average.
SAMPLE_WEIGHT = 0.05
# Processing times before the first sample, as fractions of the route's latency
# objective.
INITIAL_COLD_TIME_OBJECTIVE_FRACTION = 1.2
INITIAL_WARM_TIME_OBJECTIVE_FRACTION = 0.5
# Lower bound of the processing time in a sample.
MIN_SAMPLE_SECONDS = 0.005


class ProcessingTimeTracker:
    """Moving averages of processing times.

    Attributes:
        warm: Average seconds of requests whose object was warm at the upstream,
            by route and service.
        cold: Average seconds of requests whose object was cold there, by route
            and service.
        mean: Average seconds of all requests, by service.
    """

    def __init__(self) -> None:
        self.warm: dict[tuple[str, str], float] = {}
        self.cold: dict[tuple[str, str], float] = {}
        self.mean: dict[str, float] = {}

    def estimate(
        self, route: traffic.Route, service: str
    ) -> placement.ProcessingTimes:
        """Returns the expected times of a route's requests at a service."""
        key = (route.name, service)
        warm = self.warm.get(
            key, route.objective * INITIAL_WARM_TIME_OBJECTIVE_FRACTION
        )
        cold = self.cold.get(
            key, route.objective * INITIAL_COLD_TIME_OBJECTIVE_FRACTION
        )
        return placement.ProcessingTimes(
            warm=min(warm, cold),
            cold=cold,
            mean=self.mean.get(service, cold),
        )

    def record(
        self, route: traffic.Route, service: str, warm: bool, seconds: float
    ) -> None:
        """Records the time of a request that did not wait for a slot.

        Args:
            route: Route of the request.
            service: Service that ran the request.
            warm: True if the object was warm.
            seconds: Processing time, divided by the slowness of the upstream
                (see `upstream_state`).
        """
        seconds = max(MIN_SAMPLE_SECONDS, seconds)
        estimate = self.estimate(route, service)
        key = (route.name, service)
        if warm:
            self.warm[key] = _average(estimate.warm, seconds)
        else:
            self.cold[key] = _average(estimate.cold, seconds)

    def record_mean(self, service: str, seconds: float) -> None:
        """Records the time of any request of a service, without its wait."""
        seconds = max(MIN_SAMPLE_SECONDS, seconds)
        average = self.mean.get(service, seconds)
        self.mean[service] = _average(average, seconds)


def _average(average: float, sample: float) -> float:
    """Returns the moving average with a new sample."""
    return average + SAMPLE_WEIGHT * (sample - average)
