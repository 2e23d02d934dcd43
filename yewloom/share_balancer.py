"""Writes the record of limit shares of a data centre's entry hosts, as part of its coordinator."""

from collections.abc import Callable, Iterable

import structlog
import trio
from result import Err, Ok

from yewloom.ids import AttemptId, CustomerId
from yewloom.limits import data_centre_share, plan_shares
from yewloom.node import Node
from yewloom.platforms import Platform
from yewloom.schema.peer_pb2 import Member
from yewloom.schema.records_pb2 import Host, Shares
from yewloom.watchers import SHARES_PREFIX, parse_shares
from yewloom.writes import write_until_settled

logger = structlog.get_logger(__name__)


class ShareBalancer:
    """Divides the data centre's share of each limit among its entry hosts."""

    def __init__(
        self, node: Node, platform: Platform, new_attempt: Callable[[], AttemptId]
    ) -> None:
        self._node = node
        self._platform = platform
        self._new_attempt = new_attempt
        self._next_run_s = float("-inf")

    async def run_if_due(self, listed: Iterable[Host]) -> None:
        """Update the record if the rebalance interval has elapsed."""
        now_s = trio.current_time()
        if now_s < self._next_run_s:
            return
        self._next_run_s = now_s + self._node.settings.limits.rebalance_interval_ms / 1000
        match await self._platform.get(self._key):
            case Ok(stored):
                current = parse_shares(stored) if stored is not None else Shares()
                self._node.shares.apply(current)
                # The platform may have gone back to an older copy and lost a later record.
                current = max(current, self._node.shares.record, key=lambda r: r.generation)
                await self._write(current, stored.version if stored is not None else 0, listed)
            case Err(error):
                logger.warning("cannot read shares record", reason=str(error))

    async def _write(self, current: Shares, version: int, listed: Iterable[Host]) -> None:
        node = self._node
        alive = {node.instance_of(m) for m in self._alive_members() if not m.leaving}
        next_shares = plan_shares(
            current,
            self._local_limits(),
            alive,
            self._departed_holders(current, listed),
            self._obeyed_generations(),
            self._new_attempt(),
        )
        if next_shares is None:
            return
        attempt = next_shares.attempt_id
        written = await write_until_settled(
            self._platform,
            self._key,
            next_shares,
            version,
            lambda stored: parse_shares(stored).attempt_id == attempt,
            node.settings.platform.timeout_ms / 1000,
        )
        match written:
            case Ok():
                node.shares.apply(next_shares)
                holders = [holder.instance for holder in next_shares.holders]
                logger.info("shares granted", generation=next_shares.generation, holders=holders)
                self._next_run_s = float("-inf")
            case Err(error):
                logger.warning("cannot write shares record", reason=str(error))

    def _alive_members(self) -> list[Member]:
        return self._node.membership.alive_in(self._node.data_centre, trio.current_time())

    def _local_limits(self) -> dict[CustomerId, int]:
        data_centres = self._node.settings.limits.data_centres.split()
        return {
            name: data_centre_share(row.max_in_flight, self._node.data_centre, data_centres)
            for name, row in self._node.table.customers().items()
        }

    def _obeyed_generations(self) -> dict[str, int]:
        own = self._node.share_state(trio.current_time())
        return {**self._node.applied_share_generations, own.instance: own.obeyed_generation}

    def _departed_holders(self, current: Shares, listed: Iterable[Host]) -> set[str]:
        """Return holders that the platform no longer lists or that a later process replaced."""
        names = {host.id for host in listed if host.is_entry_host}
        latest = {member.id: member.incarnation for member in self._alive_members()}
        departed = set()
        for holder in current.holders:
            name, _, incarnation = holder.instance.rpartition("/")
            is_replaced = latest.get(name, 0) > int(incarnation)
            is_unlisted = bool(names) and name not in names and name not in latest
            if is_replaced or is_unlisted:
                departed.add(holder.instance)
        return departed

    @property
    def _key(self) -> str:
        return f"{SHARES_PREFIX}{self._node.data_centre}"
