"""Counters and latency histograms of a host, in the Prometheus text format."""

import prometheus_client

# Upper bounds of the buckets of the latency histogram, around the latency
# objectives.
LATENCY_BUCKETS_SECONDS = (0.1, 0.25, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)


class Telemetry:
    """Metrics of this host.

    Attributes:
        registry: Registry of the metrics below.
        events: Counter of events by name.
        refusals: Counter of refused or failed requests by route and code.
        undelivered: Counter of the bytes of answers that callers had not
            received when their connection was closed, by reason.
        latency: Histogram of the time from a request to its upstream's answer,
            seconds, by route.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.events = prometheus_client.Counter(
            "gooseberryweir_events",
            "Events by name.",
            ["name"],
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            "gooseberryweir_refusals",
            "Refused or failed requests by result code.",
            ["route", "code"],
            registry=self.registry,
        )
        self.undelivered = prometheus_client.Counter(
            "gooseberryweir_undelivered_bytes",
            "Bytes not received when a caller's connection was closed.",
            ["reason"],
            registry=self.registry,
        )
        self.latency = prometheus_client.Histogram(
            "gooseberryweir_request_seconds",
            "Time from a request to its upstream's answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )

    def count(self, name: str) -> None:
        """Increments the counter of an event."""
        self.events.labels(name).inc()

    def record_refusal(self, route: str, code: int) -> None:
        """Counts a refused or failed request."""
        self.refusals.labels(route, str(code)).inc()

    def record_undelivered(self, reason: str, size: int) -> None:
        """Counts a connection closed with `size` bytes not delivered."""
        self.count("answer_undelivered")
        self.undelivered.labels(reason).inc(size)

    def record_served(self, route: str, seconds: float, attempts: int) -> None:
        """Records a served request.

        Args:
            route: Name of the route.
            seconds: Time until the upstream's answer.
            attempts: Number of upstreams that the request was sent to.
        """
        self.latency.labels(route).observe(seconds)
        if attempts > 1:
            self.count("request_repeated")

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
