"""Watching the platform for the table and the placements.

Only a few entry hosts of each data centre watch; the others learn by exchange. Rows and
placements are applied by version, so it does not matter who brings them or how often.
"""

import structlog
import trio
from result import Err, Ok

from yewloom import exchange
from yewloom.node import WATCH_DUTY, Node
from yewloom.platforms import Platform, StoredObject
from yewloom.schema.records_pb2 import Placement, Shares
from yewloom.schema.table_pb2 import Row, VersionedRow
from yewloom.tables import TABLE_PREFIX
from yewloom.writes import RecordError, parse_record

logger = structlog.get_logger(__name__)

PLACEMENT_PREFIX = "placements/"
SHARES_PREFIX = "shares/"

MAX_LOOK_PAUSES = 40
"""Most pauses between two looks of a host without the duty to watch at a platform that is down."""


class Watcher:
    """Follows one prefix of the platform while this entry host has the duty to."""

    def __init__(self, node: Node, platform: Platform, prefix: str) -> None:
        self._node = node
        self._platform = platform
        self._prefix = prefix
        self._position: int | None = None

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        pause_s = self._node.settings.platform.poll_interval_ms / 1000
        while True:
            has_duty = self._has_duty()
            if not has_duty and self._platform.is_down:
                await self._look_again(pause_s)
            elif not has_duty or not await self._step():
                self._position = None
                await trio.sleep(pause_s)

    def _has_duty(self) -> bool:
        count, now_s = self._node.settings.platform.watchers, trio.current_time()
        is_new = not self._node.has_table
        return is_new or self._node.membership.has_platform_duty(WATCH_DUTY, count, now_s)

    async def _look_again(self, pause_s: float) -> None:
        """Find out now and then whether the platform answers again; all hosts may be waiting."""
        self._position = None
        await trio.sleep(pause_s * self._node.rng.uniform(1, MAX_LOOK_PAUSES))
        await self._step()

    async def _step(self) -> bool:
        """List once, then watch; tell whether the platform answered."""
        if self._position is None:
            listing = await self._platform.list(self._prefix)
        else:
            listing = await self._platform.watch(self._prefix, self._position)
        match listing:
            case Ok(found):
                for stored in found.objects:
                    take_in_object(self._node, stored)
                if self._prefix == TABLE_PREFIX:
                    self._node.has_table = True
                self._position = found.position
                return True
            case Err(error):
                logger.warning("platform not answering", prefix=self._prefix, reason=str(error))
        return False


def take_in_object(node: Node, stored: StoredObject) -> None:
    """Apply one object that the platform holds."""
    try:
        if stored.key.startswith(TABLE_PREFIX):
            exchange.apply_rows(node, [parse_row(stored)], "platform")
        elif stored.key.startswith(PLACEMENT_PREFIX):
            exchange.apply_placements(node, [parse_placement(stored)])
        elif stored.key == f"{SHARES_PREFIX}{node.data_centre}":
            node.shares.apply(parse_shares(stored))
    except RecordError as error:
        logger.error("object unreadable", reason=str(error))


def parse_row(stored: StoredObject) -> VersionedRow:
    """Decode a table row; raises RecordError."""
    row = parse_record(stored, Row())
    name = stored.key.removeprefix(TABLE_PREFIX)
    return VersionedRow(name=name, version=stored.version, row=row)


def parse_shares(stored: StoredObject) -> Shares:
    """Decode a record of shares; raises RecordError."""
    return parse_record(stored, Shares())


def parse_placement(stored: StoredObject) -> Placement:
    """Decode a placement record; raises RecordError."""
    return parse_record(stored, Placement())
