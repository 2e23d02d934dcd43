"""Prometheus metrics of an entry host that forwards requests."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)


class ForwardMetrics:
    """Counters and histograms; labels take few values, so the number of time series is bounded."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = self._counter(
            "yewloom_forwarded_requests",
            "Requests of callers by route kind, status and outcome.",
            "kind",
            "status",
            "outcome",
        )
        self._duration_s = Histogram(
            "yewloom_forwarded_request_seconds",
            "Time from the whole request to the end of its answer.",
            ["kind"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._attempts = self._counter(
            "yewloom_endpoint_attempts", "Sendings to endpoints by how they ended.", "outcome"
        )
        self._relays = self._counter(
            "yewloom_relays", "Requests relayed to peers by how that ended.", "outcome"
        )
        self._orders = self._counter(
            "yewloom_replica_orders",
            "Orders to model engines by kind and answer.",
            "order",
            "answer",
        )
        self._store_calls = self._counter(
            "yewloom_store_calls",
            "Calls to the platform's store by kind of call, kind of object and answer.",
            "call",
            "kind",
            "answer",
        )
        self._invalid_configuration = Gauge(
            "yewloom_invalid_configuration_revision",
            "Revision of the newest configuration in the store if it cannot be decoded, else 0.",
            registry=self.registry,
        )
        self._is_isolated = Gauge(
            "yewloom_is_isolated",
            "1 while this host reaches no endpoint although a peer does, else 0.",
            registry=self.registry,
        )
        self._outlier_steps = self._counter(
            "yewloom_outlier_steps",
            "Endpoints that fail far more often than others: ejected, tried again or returned.",
            "step",
        )
        self._ejected_endpoints = Gauge(
            "yewloom_ejected_endpoints",
            "Endpoints that this host has ejected and not taken back yet.",
            registry=self.registry,
        )
        self._endpoints_age_ms = Gauge(
            "yewloom_endpoints_age_ms",
            "Age of what this host knows of the endpoints; 1e9 if it lacks a change.",
            registry=self.registry,
        )
        self._build_info = Gauge(
            "yewloom_build_info",
            "Always 1; the label is the revision of the code that runs.",
            ["revision"],
            registry=self.registry,
        )
        self._log_lines_lost = self._counter(
            "yewloom_log_lines_lost", "Log lines left out because nobody read the log."
        )

    def set_revision(self, revision: str) -> None:
        """Set the revision of the code that runs."""
        self._build_info.labels(revision).set(1)

    def on_request(self, kind: str, status: int, outcome: str, duration_s: float) -> None:
        """Count a request that has ended."""
        # Such an outcome contains an age, and each age would create a new time series.
        label = "stale" if outcome.endswith(" old") else outcome
        self._requests.labels(kind, str(status), label).inc()
        self._duration_s.labels(kind).observe(duration_s)

    def on_attempt(self, outcome: str) -> None:
        """Count an attempt at an endpoint that has ended."""
        self._attempts.labels(outcome).inc()

    def on_relay(self, outcome: str) -> None:
        """Count a request that was relayed to a peer."""
        self._relays.labels(outcome).inc()

    def on_order(self, order: str, answer: str) -> None:
        """Count an order to a model engine."""
        self._orders.labels(order, answer).inc()

    def on_store_call(self, call: str, kind: str, answer: str) -> None:
        """Count a call to the store that has ended."""
        self._store_calls.labels(call, kind, answer).inc()

    def on_invalid_configuration(self, revision: int) -> None:
        """Set the revision of the invalid configuration in the store, 0 if there is none."""
        self._invalid_configuration.set(revision)

    def read_isolation(self, is_isolated: Callable[[], bool]) -> None:
        """Read whether this host is isolated from the endpoints at each scrape."""
        self._is_isolated.set_function(lambda: float(is_isolated()))

    def on_outlier_step(self, step: str) -> None:
        """Count a step of an endpoint that fails far more often than others."""
        self._outlier_steps.labels(step).inc()

    def read_ejected(self, count: Callable[[], int]) -> None:
        """Read the number of ejected endpoints at each scrape."""
        self._ejected_endpoints.set_function(count)

    def read_endpoints_age(self, age_ms: Callable[[], int]) -> None:
        """Read the age of what this host knows of the endpoints at each scrape."""
        self._endpoints_age_ms.set_function(age_ms)

    def on_log_line_dropped(self) -> None:
        """Count a log line that was dropped."""
        self._log_lines_lost.inc()

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(name, help_text, labels, registry=self.registry)
