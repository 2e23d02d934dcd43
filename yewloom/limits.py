"""Customer limits, divided among entry hosts so that their sum never exceeds the limit.

This also holds during a network partition. A limit is divided among the data centres by a fixed
rule, so that they need no agreement. Within a data centre a record in the platform grants each
entry host a share. A share is lowered in two steps: the record sets a lower target, and the
difference is granted to another host only after the first one has confirmed that it obeys the
target. Between changes of the record, hosts lend each other the capacity that they do not use. The
borrower counts the duration of a loan from before its request, the lender from its response, so a
loan ends at the borrower before the lender uses the capacity again.

A host keeps its share until the platform no longer lists it, or until a later process of the same
host is seen. Missing messages alone do not prove that a host has stopped, and the platform's list
is the only source that all hosts share. So a platform outage or a network partition changes no
share, and the share of a host that has died stays unused until the host is removed from the list.

Times are in seconds of the caller's monotonic clock.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence

from yewloom.ids import AttemptId, CustomerId, DataCentreId
from yewloom.schema.peer_pb2 import CustomerDemand, Loan, ShareState
from yewloom.schema.records_pb2 import CustomerShare, ShareHolder, Shares
from yewloom.values import value_class

MIN_CAPACITY = 2
"""Capacity per customer up to which an entry host borrows even before it needs it."""

_LENT_FRACTION = 0.5
"""Fraction of its unused capacity that a host lends in response to one request."""


def data_centre_share(limit: int, data_centre: DataCentreId, data_centres: Sequence[str]) -> int:
    """Return a data centre's share of a limit; the shares add up to the limit."""
    if data_centre not in data_centres:
        return 0
    quotient, remainder = divmod(limit, len(data_centres))
    return quotient + (data_centres.index(data_centre) < remainder)


@value_class
class _ActiveLoan:
    amount: int
    until_s: float


class LocalShares:
    """The capacity that one entry host may use: its shares, minus loans given, plus loans taken.

    ``instance`` identifies a process of an entry host; a restarted host is another instance.
    """

    def __init__(self, instance: str, loan_s: float) -> None:
        self.instance = instance
        self._loan_s = loan_s
        self._shares = Shares()
        self._lent: dict[CustomerId, list[_ActiveLoan]] = {}
        self._borrowed: dict[CustomerId, list[_ActiveLoan]] = {}
        self._obeyed_generation = 0

    @property
    def record(self) -> Shares:
        """The newest known record."""
        return self._shares

    def apply(self, shares: Shares) -> bool:
        """Apply the record if it is newer; return whether it was."""
        if shares.generation <= self._shares.generation:
            return False
        self._shares = shares
        return True

    def capacity(self, customer: CustomerId, now_s: float) -> int:
        """Return how many requests of a customer may be in progress here."""
        remaining = self._own_limit(customer) - _sum_current(self._lent, customer, now_s)
        return max(0, remaining) + _sum_current(self._borrowed, customer, now_s)

    def build_state(
        self,
        in_flight: Mapping[CustomerId, int],
        demand: Mapping[CustomerId, int],
        now_s: float,
    ) -> ShareState:
        """Return the state that is sent to other entry hosts.

        ``demand`` is the number of requests for which each customer needs capacity.
        """
        if self._meets_targets(in_flight, now_s):
            self._obeyed_generation = self._shares.generation
        return ShareState(
            instance=self.instance,
            obeyed_generation=self._obeyed_generation,
            demands=list(self._shortfalls(demand, now_s)),
        )

    def _shortfalls(
        self, demand: Mapping[CustomerId, int], now_s: float
    ) -> Iterable[CustomerDemand]:
        for customer, needed in demand.items():
            capacity = self.capacity(customer, now_s)
            shortfall = max(needed, MIN_CAPACITY) - capacity
            if shortfall > 0:
                yield CustomerDemand(customer=customer, demand=shortfall)

    def create_loans(
        self, peer_state: ShareState, in_flight: Mapping[CustomerId, int], now_s: float
    ) -> list[Loan]:
        """Lend another entry host capacity that it lacks and this one does not use."""
        if peer_state.instance == self.instance:
            return []
        loans = []
        for entry in peer_state.demands:
            customer = CustomerId(entry.customer)
            spare = self._own_limit(customer) - _sum_current(self._lent, customer, now_s)
            spare -= in_flight.get(customer, 0)
            amount = min(int(spare * _LENT_FRACTION), entry.demand)
            if amount > 0:
                active_loan = _ActiveLoan(amount, now_s + self._loan_s)
                self._lent.setdefault(customer, []).append(active_loan)
                duration_ms = round(self._loan_s * 1000)
                loans.append(Loan(customer=customer, amount=amount, duration_ms=duration_ms))
        return loans

    def add_loans(self, loans: Iterable[Loan], requested_s: float) -> None:
        """Add the loans of a peer; ``requested_s`` is a time before they were requested."""
        for loan in loans:
            active_loan = _ActiveLoan(loan.amount, requested_s + loan.duration_ms / 1000)
            self._borrowed.setdefault(CustomerId(loan.customer), []).append(active_loan)

    def _own_limit(self, customer: CustomerId) -> int:
        for share in self._own_shares():
            if share.customer == customer:
                return min(share.granted, share.target)
        return 0

    def _own_shares(self) -> Iterable[CustomerShare]:
        for holder in self._shares.holders:
            if holder.instance == self.instance:
                yield from holder.shares

    def _meets_targets(self, in_flight: Mapping[CustomerId, int], now_s: float) -> bool:
        """Return whether requests in progress plus loans given are within the newest targets."""
        targets = {CustomerId(share.customer): share.target for share in self._own_shares()}
        customers = set(in_flight) | set(self._lent)
        return all(
            in_flight.get(customer, 0) + _sum_current(self._lent, customer, now_s)
            <= targets.get(customer, 0) + _sum_current(self._borrowed, customer, now_s)
            for customer in customers
        )


def _sum_current(
    loans_by_customer: dict[CustomerId, list[_ActiveLoan]], customer: CustomerId, now_s: float
) -> int:
    """Return the sum of a customer's current loans; drop expired ones."""
    current = [
        active_loan
        for active_loan in loans_by_customer.get(customer, [])
        if active_loan.until_s > now_s
    ]
    if customer in loans_by_customer:
        loans_by_customer[customer] = current
    return sum(active_loan.amount for active_loan in current)


def plan_shares(
    current: Shares,
    limits: Mapping[CustomerId, int],
    alive: Collection[str],
    ended: Collection[str],
    obeyed: Mapping[str, int],
    attempt: AttemptId,
) -> Shares | None:
    """Return the next record, or None if nothing changes.

    ``limits`` are the data centre's shares of the customers' limits. They are divided equally among
    the instances in ``alive``; those in ``ended`` are known to have ended. ``obeyed`` is the
    generation that each instance has confirmed to obey. The sum of the granted shares never exceeds
    the data centre's share, unless that was lowered and its holders have not confirmed this yet.
    """
    next_record = Shares()
    next_record.CopyFrom(current)
    next_record.generation = current.generation + 1
    next_record.attempt_id = attempt
    _lower_grants(next_record, obeyed)
    _remove_holders(next_record, alive, ended)
    _add_holders(next_record, alive)
    _set_targets(next_record, limits, alive)
    _raise_grants(next_record, limits)
    if list(next_record.holders) == list(current.holders):
        return None
    return next_record


def _lower_grants(shares: Shares, obeyed: Mapping[str, int]) -> None:
    """Lower grants to their targets for holders that have confirmed that they obey these."""
    for holder in shares.holders:
        if obeyed.get(holder.instance, -1) < holder.changed_generation:
            continue
        for share in holder.shares:
            share.granted = min(share.granted, share.target)


def _remove_holders(shares: Shares, alive: Collection[str], ended: Collection[str]) -> None:
    """Remove holders that have ended, and those not alive that hold nothing."""
    remaining = [
        holder
        for holder in shares.holders
        if holder.instance not in ended
        and (holder.instance in alive or any(share.granted for share in holder.shares))
    ]
    del shares.holders[:]
    shares.holders.extend(remaining)


def _add_holders(shares: Shares, alive: Collection[str]) -> None:
    present = {holder.instance for holder in shares.holders}
    for instance in sorted(set(alive) - present):
        shares.holders.append(ShareHolder(instance=instance))


def _set_targets(shares: Shares, limits: Mapping[CustomerId, int], alive: Collection[str]) -> None:
    """Set equal targets for live holders, and zero for the others."""
    live_instances = sorted(
        holder.instance for holder in shares.holders if holder.instance in alive
    )
    positions = {instance: position for position, instance in enumerate(live_instances)}
    for holder in shares.holders:
        by_customer = {share.customer: share for share in holder.shares}
        for customer in sorted(set(limits) | set(by_customer)):
            share = by_customer.get(customer)
            if share is None:
                share = holder.shares.add(customer=customer)
            target = _equal_share(limits.get(CustomerId(customer), 0), holder.instance, positions)
            if target < min(share.target, share.granted):
                holder.changed_generation = shares.generation
            share.target = target


def _equal_share(limit: int, instance: str, positions: Mapping[str, int]) -> int:
    """Return the share of an instance; a remainder goes to the first instances, one each."""
    if instance not in positions:
        return 0
    quotient, remainder = divmod(limit, len(positions))
    return quotient + (positions[instance] < remainder)


def _raise_grants(shares: Shares, limits: Mapping[CustomerId, int]) -> None:
    """Raise grants towards their targets with capacity that is not granted to any holder."""
    shares_by_customer: defaultdict[str, list[CustomerShare]] = defaultdict(list)
    for holder in shares.holders:
        for share in holder.shares:
            shares_by_customer[share.customer].append(share)
    for customer, limit in limits.items():
        free = limit - sum(share.granted for share in shares_by_customer[customer])
        for share in shares_by_customer[customer]:
            increase = min(max(0, share.target - share.granted), max(0, free))
            share.granted += increase
            free -= increase
