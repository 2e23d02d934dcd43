"""Tracks whether any endpoint answers this entry host's own probes. Times are in seconds."""


class OwnReach:
    """Concludes from this host's probes whether it reaches any endpoint.

    Peers report what they have observed, so a host that is cut off from all endpoints still
    knows that groups are open. ``confirmation_s`` is how long all probes must have failed.
    """

    def __init__(self, confirmation_s: float) -> None:
        self._confirmation_s = confirmation_s
        self._failing_since_s: float | None = None

    def on_answered(self) -> None:
        """Record that an endpoint answered a probe."""
        self._failing_since_s = None

    def on_failed(self, requested_s: float) -> None:
        """Record that a probe sent at ``requested_s`` failed."""
        if self._failing_since_s is None:
            self._failing_since_s = requested_s

    def has_lost_all(self, now_s: float) -> bool:
        """Return whether all probes of this host have failed for the confirmation time."""
        if self._failing_since_s is None:
            return False
        return now_s - self._failing_since_s >= self._confirmation_s
