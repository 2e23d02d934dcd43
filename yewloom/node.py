"""The state of one entry host, shared by the tasks of its event loop."""

import random
import time
from collections import defaultdict
from dataclasses import dataclass, field

import trio

from yewloom.admission import AdmissionController
from yewloom.endpoint_pauses import EndpointPauses
from yewloom.experiments import ExperimentRecord
from yewloom.fleet import Fleet
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.limits import LocalShares
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.membership import Membership
from yewloom.metrics import Metrics
from yewloom.own_reach import OwnReach
from yewloom.prefixes import PrefixIndex
from yewloom.prompt_crashes import PromptCrashes
from yewloom.schema.peer_pb2 import Member, ShareState
from yewloom.schema.settings_pb2 import Settings
from yewloom.states import Phase
from yewloom.tables import Table
from yewloom.work import WorkTracker

WATCH_DUTY = "watch"
"""Duty of watching the platform for a data centre."""

COORDINATE_DUTY = "coordinate"
"""Duty of monitoring the coordinator's lease for a data centre."""

COORDINATE_COUNT = 3
"""Entry hosts of a data centre that monitor the coordinator's lease; one of them holds it."""


def unix_now_ms() -> int:
    """Return the wall-clock time in Unix milliseconds, for records that outlive the process."""
    return time.time_ns() // 1_000_000


@dataclass
class Node:
    """The state of an entry host; it is in memory only and rebuilt after a restart."""

    settings: Settings
    membership: Membership
    table: Table
    fleet: Fleet
    prefixes: PrefixIndex
    admission: AdmissionController
    shares: LocalShares
    metrics: Metrics
    rng: random.Random
    pauses: EndpointPauses
    own_reach: OwnReach
    crashes: PromptCrashes
    work: WorkTracker = field(default_factory=WorkTracker)
    loop_delay: LoopDelayMonitor = field(default_factory=LoopDelayMonitor)
    is_table_loaded: bool = False
    experiments: defaultdict[str, ExperimentRecord] = field(
        default_factory=lambda: defaultdict(ExperimentRecord)
    )
    applied_share_generations: dict[str, int] = field(default_factory=dict)

    @property
    def id(self) -> EntryHostId:
        """Id of this entry host."""
        return EntryHostId(self.settings.host.id)

    @property
    def data_centre(self) -> DataCentreId:
        """Data centre of this entry host."""
        return DataCentreId(self.settings.host.data_centre)

    @property
    def instance(self) -> str:
        """Name of this process: the entry host's id and incarnation."""
        return self.instance_of(self.membership.own_member)

    @staticmethod
    def instance_of(member: Member) -> str:
        """Return the name of a member's process."""
        return f"{member.id}/{member.incarnation}"

    def share_state(self, now_s: float) -> ShareState:
        """Return the use of shares on this host, for its peers; reset the counted demand."""
        demand = dict.fromkeys(self.table.customers(), 0) | self.admission.read_and_reset_demand()
        return self.shares.build_state(self.admission.in_flight_by_customer(), demand, now_s)

    @property
    def accepts_requests(self) -> bool:
        """Return whether requests are accepted.

        During a planned stop they are still accepted for some time after ``is_ready``, which is
        reported to the load balancer, has become false.
        """
        return self.is_table_loaded and self.work.phase is not Phase.CLOSED

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this host."""
        is_serving = self.is_table_loaded and not self.work.is_stopping
        return is_serving and not self.is_isolated(trio.current_time())

    def is_isolated(self, now_s: float) -> bool:
        """Return whether this host reaches no endpoint while its peers report open ones.

        If no host reaches an endpoint, none is isolated.
        """
        return self.own_reach.has_lost_all(now_s) and self.fleet.has_open_endpoints(now_s)

    def begin_stop(self) -> None:
        """Begin a planned stop: announce it to the load balancer and peers.

        Requests are still accepted.
        """
        self.work.phase = Phase.LEAVING
        self.membership.start_leaving()


def build_node(settings: Settings, rng: random.Random, incarnation: int) -> Node:
    """Return the initial state of an entry host."""
    host = settings.host
    own_member = Member(
        id=host.id,
        incarnation=incarnation,
        data_centre=host.data_centre,
        peer_address=f"{host.listen_ip}:{host.peer_port}",
    )
    membership = Membership(own_member, settings.peers.dead_after_ms / 1000)
    node = Node(
        settings=settings,
        membership=membership,
        table=Table(),
        fleet=Fleet(settings.groups.freshness_ms / 1000, settings.groups.give_up_ms / 1000),
        prefixes=PrefixIndex(),
        admission=AdmissionController(0, settings.requests.max_queued),
        shares=LocalShares(Node.instance_of(own_member), settings.limits.loan_ms / 1000),
        metrics=Metrics(),
        rng=rng,
        pauses=EndpointPauses(rng),
        own_reach=OwnReach(settings.groups.freshness_ms / 1000),
        crashes=PromptCrashes(
            EntryHostId(host.id),
            lambda: [EntryHostId(m.id) for m in membership.alive(trio.current_time())],
            lambda: node.is_isolated(trio.current_time()),
        ),
    )
    return node
