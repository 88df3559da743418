"""Learns how long requests take where they need not wait."""

from gooseberryweir.request.steering import placement
from gooseberryweir.version import traffic

# Weight of the newest sample in an average.
SAMPLE_WEIGHT = 0.05
# Work as a part of the objective, until there are samples.
INITIAL_COLD_FRACTION = 1.2
INITIAL_WARM_FRACTION = 0.5
MIN_SECONDS = 0.005


class ProcessingTimeTracker:
    """Averages of the time that requests take, by route and service."""

    def __init__(self) -> None:
        self.warm: dict[tuple[str, str], float] = {}
        self.cold: dict[tuple[str, str], float] = {}
        self.mean: dict[str, float] = {}

    def estimate(
        self, route: traffic.Route, service: str
    ) -> placement.ProcessingTimes:
        """Returns what requests of a route take at a service."""
        key = (route.name, service)
        warm = self.warm.get(key, route.objective * INITIAL_WARM_FRACTION)
        cold = self.cold.get(key, route.objective * INITIAL_COLD_FRACTION)
        return placement.ProcessingTimes(
            warm=min(warm, cold),
            cold=cold,
            mean=self.mean.get(service, cold),
        )

    def record(
        self, route: traffic.Route, service: str, warm: bool, seconds: float
    ) -> None:
        """Takes in the time of a request that did not wait.

        Args:
            route: Its route.
            service: The service that ran it.
            warm: Whether its object was expected to be warm.
            seconds: Its time at an upstream of common speed.
        """
        seconds = max(MIN_SECONDS, seconds)
        estimate = self.estimate(route, service)
        key = (route.name, service)
        if warm:
            self.warm[key] = _average(estimate.warm, seconds)
        else:
            self.cold[key] = _average(estimate.cold, seconds)

    def record_mean(self, service: str, seconds: float) -> None:
        """Takes in the time of any request of a service without its wait."""
        seconds = max(MIN_SECONDS, seconds)
        average = self.mean.get(service, seconds)
        self.mean[service] = _average(average, seconds)


def _average(average: float, sample: float) -> float:
    return average + SAMPLE_WEIGHT * (sample - average)
