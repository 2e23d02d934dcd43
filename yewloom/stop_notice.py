"""Whether a stop that was requested accepts no more requests, although it may not have begun."""

from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.planned_stop import PlannedStop
from yewloom.process_signals import ProcessSignals


class StopNotice:
    """Follows the signals of the process rather than the tasks of the stop.

    A host that was blocked reads what has arrived before the task that begins the stop runs.
    """

    def __init__(
        self, signals: ProcessSignals, plan: PlannedStop, loop_delay: LoopDelayMonitor
    ) -> None:
        self._signals = signals
        self._plan = plan
        self._loop_delay = loop_delay

    def is_over(self) -> bool:
        """Return whether a stop was requested so long ago that no requests are accepted."""
        requested_ago_s = self._signals.requested_ago_s()
        if requested_ago_s is None:
            return False
        unnoticed_s = self._loop_delay.unnoticed_s(requested_ago_s)
        return self._plan.is_notice_over(requested_ago_s, unnoticed_s)
