"""Build the exchange of an entry host with its peers from its components."""

from collections.abc import Callable, Sequence

from yewloom.configuration import ConfigurationState
from yewloom.entry_addresses import EntryAddresses, PeerAddress
from yewloom.entry_exchange import EntryExchange
from yewloom.entry_states import PeerStates
from yewloom.follow_duty import FollowDuty
from yewloom.followed_position import FollowedPosition
from yewloom.followers import Follower
from yewloom.intake import EndpointIntake
from yewloom.own_state import EntryHostProcess, OwnStateBuilder
from yewloom.peer_intake import PeerIntake
from yewloom.peer_reports import PeerReportHandler
from yewloom.peer_topics import PeerMessageExtension
from yewloom.platform_parts import PlatformParts
from yewloom.selection import Selector
from yewloom.stalls import StallDetector
from yewloom.values import value_class


@value_class
class ExchangeComponents:
    """The components that the exchange needs.

    ``loop_delay_s`` returns for how long a message that is read now may have waited.
    """

    identity: EntryHostProcess
    own_address: str
    parts: PlatformParts
    peer_states: PeerStates
    configuration_state: ConfigurationState
    configuration_follower: Follower
    endpoint_intake: EndpointIntake
    followed_endpoints: FollowedPosition
    selector: Selector
    stalls: StallDetector
    duty: FollowDuty
    loop_delay_s: Callable[[], float]
    extensions: Sequence[PeerMessageExtension]


def build_exchange(components: ExchangeComponents) -> EntryExchange:
    """Return an exchange built from these components."""
    return EntryExchange(
        _build_addresses(components),
        components.peer_states,
        components.duty,
        _build_own_state(components),
        _build_intake(components),
        components.loop_delay_s,
    )


def _build_addresses(components: ExchangeComponents) -> EntryAddresses:
    identity, parts = components.identity, components.parts
    return EntryAddresses(
        identity.host_id,
        PeerAddress(components.own_address, identity.data_centre),
        parts.records_store,
        parts.stale_store,
        components.peer_states,
    )


def _build_own_state(components: ExchangeComponents) -> OwnStateBuilder:
    return OwnStateBuilder(
        components.identity,
        components.configuration_state,
        components.selector,
        components.stalls,
        components.followed_endpoints,
        components.duty.status,
        components.extensions,
    )


def _build_intake(components: ExchangeComponents) -> PeerIntake:
    return PeerIntake(
        components.peer_states,
        components.configuration_state,
        components.followed_endpoints,
        components.endpoint_intake.apply_peer_changes,
        PeerReportHandler(components.stalls, components.selector),
        components.configuration_follower.relist,
        components.extensions,
    )
