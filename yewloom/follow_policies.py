"""When a host calls the store: from its duty, its back-off and the age of its information."""

import math
from collections.abc import Callable

import trio

from yewloom.configuration import ConfigurationState
from yewloom.follow_duty import FollowDuty
from yewloom.followed_position import FollowedPosition
from yewloom.followers import FollowPolicy
from yewloom.store_retries import StoreBackoff


class FollowPolicies:
    """Builds the policies by which one host follows the configuration and the endpoints."""

    def __init__(self, duty: FollowDuty, backoff: StoreBackoff) -> None:
        self._duty = duty
        self._backoff = backoff

    def for_configuration(self, state: ConfigurationState) -> FollowPolicy:
        """Return the policy for following the configuration; changes are not batched."""

        def age_s(now_s: float) -> float:
            return math.inf if state.is_outdated else state.read_age_s(now_s)

        return self._build(lambda: 0.0, age_s, lambda now_s: state.is_outdated)

    def for_endpoints(
        self, followed: FollowedPosition, batch_pause_s: Callable[[], float]
    ) -> FollowPolicy:
        """Return the policy for following the endpoints."""
        return self._build(batch_pause_s, followed.age_s, followed.is_behind)

    def _build(
        self,
        batch_pause_s: Callable[[], float],
        age_s: Callable[[float], float],
        is_behind: Callable[[float], bool],
    ) -> FollowPolicy:
        """Return a policy.

        ``age_s`` returns the age of the information at a time of trio's clock, and ``is_behind``
        whether a peer knows of a later change than this host.
        """
        duty = self._duty

        def retry_pause_s(failures: int) -> float:
            is_behind_now = is_behind(trio.current_time())
            near_hosts = duty.near_host_count()
            return self._backoff.pause_s(failures, duty.has_duty(), near_hosts, is_behind_now)

        return FollowPolicy(
            must_call=lambda: duty.must_call_store(age_s(trio.current_time())),
            batch_pause_s=batch_pause_s,
            retry_pause_s=retry_pause_s,
            max_watch_s=lambda: duty.max_watch_s(age_s(trio.current_time())),
        )
