"""Watches the platform for changes of the table, the placements and the shares.

Only a few entry hosts of each data centre watch it; the others get changes by exchange with peers.
Rows and placements are applied by version, so it does not matter from where and how often they
arrive.
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

MAX_RECHECK_FACTOR = 40
"""Longest interval, in poll intervals, at which a host without the duty to watch checks whether the
platform has recovered from an outage."""


class PlatformWatcher:
    """Watches the keys with one prefix while this entry host has the duty to."""

    def __init__(self, node: Node, platform: Platform, prefix: str) -> None:
        self._node = node
        self._platform = platform
        self._prefix = prefix
        self._position: int | None = None

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        pause_s = self._node.settings.platform.poll_interval_ms / 1000
        while True:
            has_duty = self._has_duty()
            if not has_duty and self._platform.is_down:
                await self._recheck(pause_s)
            elif not has_duty or not await self._step():
                self._position = None
                await trio.sleep(pause_s)

    def _has_duty(self) -> bool:
        count, now_s = self._node.settings.platform.watchers, trio.current_time()
        is_new = not self._node.is_table_loaded
        return is_new or self._node.membership.has_platform_duty(WATCH_DUTY, count, now_s)

    async def _recheck(self, pause_s: float) -> None:
        """Check after a random time whether the platform answers again.

        It may be MAX_RECHECK_FACTOR poll intervals long, since all hosts may be waiting. It ends if
        this host gets the duty to watch.
        """
        self._position = None
        check_s = trio.current_time() + pause_s * self._node.rng.uniform(1, MAX_RECHECK_FACTOR)
        while not self._has_duty() and (remaining_s := check_s - trio.current_time()) > 0:  # noqa: ASYNC110 - a duty
            await trio.sleep(min(pause_s, remaining_s))
        await self._step()

    async def _step(self) -> bool:
        """List on the first call, watch on later ones; return whether the platform answered."""
        if self._position is None:
            listing = await self._platform.list(self._prefix)
        else:
            listing = await self._platform.watch(self._prefix, self._position)
        match listing:
            case Ok(found):
                for stored in found.objects:
                    apply_object(self._node, stored)
                if self._prefix == TABLE_PREFIX:
                    self._node.is_table_loaded = True
                self._position = found.position
                return True
            case Err(error):
                logger.warning("cannot read from platform", prefix=self._prefix, reason=str(error))
        return False


def apply_object(node: Node, stored: StoredObject) -> None:
    """Apply one object read from the platform."""
    try:
        if stored.key.startswith(TABLE_PREFIX):
            exchange.apply_rows(node, [parse_row(stored)], "platform")
        elif stored.key.startswith(PLACEMENT_PREFIX):
            exchange.apply_placements(node, [parse_placement(stored)])
        elif stored.key == f"{SHARES_PREFIX}{node.data_centre}":
            node.shares.apply(parse_shares(stored))
    except RecordError as error:
        logger.error("invalid object", reason=str(error))


def parse_row(stored: StoredObject) -> VersionedRow:
    """Decode a table row; raise RecordError if it is invalid."""
    row = parse_record(stored, Row())
    name = stored.key.removeprefix(TABLE_PREFIX)
    return VersionedRow(name=name, version=stored.version, row=row)


def parse_shares(stored: StoredObject) -> Shares:
    """Decode a shares record; raise RecordError if it is invalid."""
    return parse_record(stored, Shares())


def parse_placement(stored: StoredObject) -> Placement:
    """Decode a placement record; raise RecordError if it is invalid."""
    return parse_record(stored, Placement())
