"""When a host calls the store: from its duty, its back-off and the age of its information."""

from collections.abc import Callable

import trio

from yewloom.follow_duty import FollowDuty
from yewloom.followers import FollowPolicy
from yewloom.store_retries import StoreBackoff


def build_follow_policy(
    duty: FollowDuty,
    backoff: StoreBackoff,
    batch_pause_s: Callable[[], float],
    age_s: Callable[[float], float],
    is_behind: Callable[[float], bool],
) -> FollowPolicy:
    """Return the policy for following the objects of one kind.

    ``age_s`` returns the age of the information at a time of trio's clock, and ``is_behind``
    whether a peer knows of a later change than this host.
    """

    def retry_pause_s(failures: int) -> float:
        is_behind_now = is_behind(trio.current_time())
        return backoff.pause_s(failures, duty.has_duty(), duty.near_host_count(), is_behind_now)

    return FollowPolicy(
        must_call=lambda: duty.must_call_store(age_s(trio.current_time())),
        batch_pause_s=batch_pause_s,
        retry_pause_s=retry_pause_s,
        max_watch_s=lambda: duty.max_watch_s(age_s(trio.current_time())),
    )
