"""Processes peers' reports on groups: stalled ones, unreachable leaders, and progress."""

from yewloom.ids import HostId
from yewloom.selection import Selector
from yewloom.stalls import STALLED_AVOIDANCE_S, StallDetector


class PeerReportHandler:
    """Makes the selector avoid reported groups for a time, and informs the stall detector."""

    def __init__(self, stalls: StallDetector, selector: Selector) -> None:
        self._stalls = stalls
        self._selector = selector

    def on_stalled(self, leader: HostId, now_s: float) -> None:
        """Process a peer's report that a group has stalled."""
        self._avoid(leader, now_s)
        self._stalls.on_peer_stall_report(leader, now_s)

    def on_unreachable(self, leader: HostId, now_s: float) -> None:
        """Process a peer's report that it could not connect to a group's leader."""
        self._avoid(leader, now_s)
        self._stalls.on_peer_unreachable_report(leader, now_s)

    def on_progress(self, leader: HostId, age_s: float, now_s: float) -> None:
        """Process a peer's report that a suspected group made progress ``age_s`` ago."""
        self._stalls.on_peer_progress(leader, age_s, now_s)

    def _avoid(self, leader: HostId, now_s: float) -> None:
        """Avoid a group after its first report; repeated reports do not extend the time."""
        if leader not in self._stalls.suspected(now_s):
            self._selector.avoid(leader, now_s + STALLED_AVOIDANCE_S)
