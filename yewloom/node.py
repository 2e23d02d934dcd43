"""The state of one entry host, shared by its tasks on one loop."""

import random
import time
from dataclasses import dataclass, field

from yewloom.fleet import Fleet
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.membership import Membership
from yewloom.metrics import Metrics
from yewloom.prefixes import PrefixIndex
from yewloom.schema.peer_pb2 import Member
from yewloom.schema.settings_pb2 import Settings
from yewloom.tables import Table

WATCH_DUTY = "watch"
"""Duty of the entry hosts that watch the platform for their data centre."""


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
    metrics: Metrics
    rng: random.Random
    is_leaving: bool = False
    is_closed: bool = False
    has_table: bool = field(default=False)

    @property
    def id(self) -> EntryHostId:
        """Name of this entry host."""
        return EntryHostId(self.settings.host.id)

    @property
    def data_centre(self) -> DataCentreId:
        """Data centre of this entry host."""
        return DataCentreId(self.settings.host.data_centre)

    @property
    def accepts_requests(self) -> bool:
        """Tell whether requests are taken in; for a moment longer than the balancer is told."""
        return self.has_table and not self.is_closed

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer may send requests here."""
        return self.has_table and not self.is_leaving


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
        metrics=Metrics(),
        rng=rng,
    )
