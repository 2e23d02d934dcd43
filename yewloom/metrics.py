"""Prometheus metrics, with one registry per process."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 30.0)


class Metrics:
    """Metrics of one entry host; docs/metrics.md documents their names."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "yewloom_requests",
            "Requests by customer and outcome.",
            ["customer", "outcome"],
            registry=self.registry,
        )
        self.rejected_requests = Counter(
            "yewloom_sheds", "Requests turned away.", ["customer"], registry=self.registry
        )
        self.retries = Counter(
            "yewloom_retries", "Calls sent again, by step.", ["step"], registry=self.registry
        )
        self.delivered_tokens = Counter(
            "yewloom_tokens", "Tokens passed to callers.", registry=self.registry
        )
        self.first_token_s = Histogram(
            "yewloom_first_token_seconds",
            "Time from arrival to the first token.",
            ["policy"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.between_tokens_s = Histogram(
            "yewloom_between_tokens_seconds",
            "Time between tokens.",
            ["policy"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "yewloom_requests_in_flight", "Requests that hold a place.", registry=self.registry
        )
        self.queued = Gauge(
            "yewloom_requests_queued", "Requests that wait.", registry=self.registry
        )
        self.accepting_groups = Gauge(
            "yewloom_open_groups", "Groups that may take new work.", registry=self.registry
        )
        self.is_coordinator = Gauge(
            "yewloom_is_coordinator", "1 while this host holds the lease.", registry=self.registry
        )
        self.peer_bytes = Counter(
            "yewloom_peer_bytes",
            "Bytes of messages in exchanges that this host began, by direction.",
            ["direction"],
            registry=self.registry,
        )
        self.platform_calls = Gauge(
            "yewloom_platform_calls",
            "Calls sent to the platform since the start, by kind.",
            ["kind"],
            registry=self.registry,
        )
