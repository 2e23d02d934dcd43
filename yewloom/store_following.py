"""The followers of the configuration and the endpoints, and when they call the store."""

import random
from collections.abc import Callable

from yewloom.configuration import ConfigurationState
from yewloom.entry_states import PeerStates
from yewloom.follow_duty import FollowDuty, FollowStatus
from yewloom.follow_policies import FollowPolicies
from yewloom.follow_times import endpoint_pause_s, follow_times, longest_behind_pause_s
from yewloom.followed_position import FollowedPosition
from yewloom.followers import Follower, Update
from yewloom.own_state import EntryHostProcess
from yewloom.platform_parts import PlatformParts
from yewloom.schema.entry_pb2 import EntrySettings
from yewloom.store_retries import StoreBackoff
from yewloom.values import value_class


@value_class
class FollowingHost:
    """What following depends on in the host.

    ``status`` is that of the host; ``is_before_traffic`` returns whether no request has come yet
    since the whole system was started, and ``holds_lease`` whether this host coordinates.
    """

    status: Callable[[], FollowStatus]
    uptime_s: Callable[[], float]
    is_before_traffic: Callable[[], bool]
    holds_lease: Callable[[], bool]


class StoreFollowing:
    """Builds the duty, and the followers that obey it."""

    def __init__(
        self,
        settings: EntrySettings,
        process: EntryHostProcess,
        parts: PlatformParts,
        peer_states: PeerStates,
        host: FollowingHost,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._host = host
        random_fraction = rng.random()
        self.duty = FollowDuty(
            process.host_id,
            peer_states,
            host.status,
            follow_times(settings),
            random_fraction,
            host.uptime_s,
        )
        backoff = StoreBackoff(
            settings.store.retry_pause_ms / 1000, random_fraction, longest_behind_pause_s(settings)
        )
        self._policies = FollowPolicies(self.duty, backoff)

    def follow_configuration(
        self, state: ConfigurationState, apply_update: Callable[[Update], None]
    ) -> Follower:
        """Return the follower of the configuration."""
        return Follower(
            self._parts.configuration,
            self._parts.records.configuration_kind,
            apply_update,
            FollowedPosition(),
            self._policies.for_configuration(state),
        )

    def follow_endpoints(
        self, followed: FollowedPosition, apply_update: Callable[[Update], None]
    ) -> Follower:
        """Return the follower of the endpoints."""
        return Follower(
            self._parts.endpoints,
            self._parts.records.endpoint_kind,
            apply_update,
            followed,
            self._policies.for_endpoints(followed, self._endpoint_pause_s),
        )

    def _endpoint_pause_s(self) -> float:
        """Return how long endpoint changes are batched."""
        return endpoint_pause_s(
            self._settings.store,
            self._host.is_before_traffic(),
            self.duty.has_duty(),
            self._host.holds_lease(),
        )
