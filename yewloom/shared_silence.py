"""Finds the endpoints that are likely to be silent, of those that could take over a request.

Endpoints that are silent at the same time are more likely to share something that is slow than to
have failed one by one. They go on when it does, and a request that was sent to another one
meanwhile is work done twice. So most silent endpoints of a data centre speak for those of which
this host's streams show nothing.
"""

from collections import defaultdict
from collections.abc import Container, Iterable

from yewloom.directory import Endpoint
from yewloom.ids import DataCentreId, HostId
from yewloom.stalls import Activity, StallDetector

MIN_SILENT = 2
"""Minimum number of silent endpoints of a data centre that speak for others there. A single one is
no more than a failure of its own."""


def find_silent(
    endpoints: Iterable[Endpoint], tried: Container[HostId], stalls: StallDetector, now_s: float
) -> set[HostId]:
    """Return the endpoints that are silent or likely to be.

    The endpoints in ``tried``, at which the request is already, speak for no others.
    """
    by_data_centre: defaultdict[DataCentreId, dict[HostId, Activity]] = defaultdict(dict)
    for endpoint in endpoints:
        if endpoint.id not in tried:
            activity = stalls.activity_of(endpoint.id, now_s)
            by_data_centre[endpoint.data_centre][endpoint.id] = activity
    silent: set[HostId] = set()
    for activities in by_data_centre.values():
        silent |= _silent_of(activities)
    return silent


def _silent_of(activities: dict[HostId, Activity]) -> set[HostId]:
    """Return the endpoints of one data centre that are silent or likely to be."""
    silent = {host for host, activity in activities.items() if activity is Activity.SILENT}
    active = {host for host, activity in activities.items() if activity is Activity.ACTIVE}
    if len(silent) < MIN_SILENT or len(silent) <= len(active):
        return silent
    return activities.keys() - active
