"""The state of one entry host, shared by its tasks on one loop."""

import random
import time
from collections import defaultdict
from dataclasses import dataclass, field

from yewloom.admission import Admission
from yewloom.experiments import ExperimentRecord
from yewloom.fleet import Fleet
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.limits import ShareBook
from yewloom.loop_lateness import LoopLateness
from yewloom.membership import Membership
from yewloom.metrics import Metrics
from yewloom.prefixes import PrefixIndex
from yewloom.schema.peer_pb2 import Member, ShareState
from yewloom.schema.settings_pb2 import Settings
from yewloom.states import Phase
from yewloom.tables import Table
from yewloom.work import Work

WATCH_DUTY = "watch"
"""Duty of the entry hosts that watch the platform for their data centre."""

COORDINATE_DUTY = "coordinate"
"""Duty of the entry hosts that keep an eye on the coordinator's lease."""

COORDINATE_COUNT = 3
"""Entry hosts of a data centre that keep an eye on the lease; one of them holds it."""


def unix_ms() -> int:
    """Return the wall clock in Unix milliseconds, for records that outlive the process."""
    return time.time_ns() // 1_000_000


@dataclass
class Node:
    """What an entry host knows; every field is in memory only and learnt anew at a start."""

    settings: Settings
    membership: Membership
    table: Table
    fleet: Fleet
    prefixes: PrefixIndex
    admission: Admission
    shares: ShareBook
    metrics: Metrics
    rng: random.Random
    work: Work = field(default_factory=Work)
    lateness: LoopLateness = field(default_factory=LoopLateness)
    has_table: bool = False
    experiments: defaultdict[str, ExperimentRecord] = field(
        default_factory=lambda: defaultdict(ExperimentRecord)
    )
    obeyed_shares: dict[str, int] = field(default_factory=dict)

    @property
    def id(self) -> EntryHostId:
        """Name of this entry host."""
        return EntryHostId(self.settings.host.id)

    @property
    def data_centre(self) -> DataCentreId:
        """Data centre of this entry host."""
        return DataCentreId(self.settings.host.data_centre)

    @property
    def instance(self) -> str:
        """Name of this process: the entry host and its start."""
        return self.instance_of(self.membership.me)

    @staticmethod
    def instance_of(member: Member) -> str:
        """Return the name of a member's process."""
        return f"{member.id}/{member.incarnation}"

    def share_state(self, now_s: float) -> ShareState:
        """Return what peers should know of the shares in use here."""
        demand = dict.fromkeys(self.table.customers(), 0) | self.admission.take_demand()
        return self.shares.state(self.admission.in_flight_by_customer(), demand, now_s)

    @property
    def accepts_requests(self) -> bool:
        """Tell whether requests are taken in; for a moment longer than the balancer is told."""
        return self.has_table and self.work.phase is not Phase.CLOSED

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer may send requests here."""
        return self.has_table and not self.work.is_leaving

    def start_leaving(self) -> None:
        """Begin a planned stop: tell the balancer and the peers, and still take requests."""
        self.work.phase = Phase.LEAVING
        self.membership.start_leaving()


def build_node(settings: Settings, rng: random.Random, incarnation: int) -> Node:
    """Return the state of an entry host that knows nothing yet."""
    host = settings.host
    me = Member(
        id=host.id,
        incarnation=incarnation,
        data_centre=host.data_centre,
        peer_address=f"{host.listen_ip}:{host.peer_port}",
    )
    return Node(
        settings=settings,
        membership=Membership(me, settings.peers.dead_after_ms / 1000),
        table=Table(),
        fleet=Fleet(settings.groups.freshness_ms / 1000, settings.groups.give_up_ms / 1000),
        prefixes=PrefixIndex(),
        admission=Admission(0, settings.requests.max_queued),
        shares=ShareBook(Node.instance_of(me), settings.limits.loan_ms / 1000),
        metrics=Metrics(),
        rng=rng,
    )
