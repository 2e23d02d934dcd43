"""Limits of customers, shared among entry hosts and never exceeded in sum, also when parted.

A limit is divided among the data centres by a fixed rule, so that regions need not agree. Within a
data centre one platform record grants each entry host a part. A part is lowered in two steps: the
record sets a lower target, and only when the host has said that it obeys it may another get the
difference. Between changes of the record, hosts lend each other what they do not use, for a time
that the borrower counts from before it asked and the lender from when it answered.

A host keeps its part until the platform's list no longer shows the host, or until a later process
of the same host is heard of: silence alone proves nothing, and the platform's word is the only one
that all go by. So a platform outage or a cut changes no part, and what a dead host held lies idle
until the list tells.
Times are seconds of the caller's monotonic clock.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence

from yewloom.ids import AttemptId, CustomerId, DataCentreId
from yewloom.schema.peer_pb2 import CustomerDemand, Loan, ShareState
from yewloom.schema.records_pb2 import CustomerShare, ShareHolder, Shares
from yewloom.values import value_class

LEAST_USABLE = 2
"""Requests of each customer that an entry host asks to be lent even before it needs them."""

_LENT_PART = 0.5
"""Part of what a host does not use that it lends at once."""


def part_of(limit: int, data_centre: DataCentreId, data_centres: Sequence[str]) -> int:
    """Return a data centre's part of a limit; the parts add up to the limit."""
    if data_centre not in data_centres:
        return 0
    whole, rest = divmod(limit, len(data_centres))
    return whole + (data_centres.index(data_centre) < rest)


@value_class
class _Transfer:
    amount: int
    until_s: float


class ShareBook:
    """What one entry host may use of each limit: its part, less loans given, plus loans taken."""

    def __init__(self, instance: str, loan_s: float) -> None:
        self.instance = instance
        self._loan_s = loan_s
        self._shares = Shares()
        self._lent: dict[CustomerId, list[_Transfer]] = {}
        self._borrowed: dict[CustomerId, list[_Transfer]] = {}
        self._obeyed = 0

    @property
    def shares(self) -> Shares:
        """The newest record known."""
        return self._shares

    def apply(self, shares: Shares) -> bool:
        """Take in the record if it is newer; tell whether it was."""
        if shares.generation <= self._shares.generation:
            return False
        self._shares = shares
        return True

    def usable(self, customer: CustomerId, now_s: float) -> int:
        """Return how many requests of a customer may be in progress here."""
        kept = self._own_part(customer) - _sum(self._lent, customer, now_s)
        return max(0, kept) + _sum(self._borrowed, customer, now_s)

    def state(
        self,
        in_flight: Mapping[CustomerId, int],
        demand: Mapping[CustomerId, int],
        now_s: float,
    ) -> ShareState:
        """Return what the other side of an exchange should know; ``demand`` is what is needed."""
        if self._obeys(in_flight, now_s):
            self._obeyed = self._shares.generation
        return ShareState(
            instance=self.instance,
            obeyed_generation=self._obeyed,
            demands=list(self._lacks(demand, now_s)),
        )

    def _lacks(self, demand: Mapping[CustomerId, int], now_s: float) -> Iterable[CustomerDemand]:
        for customer, needed in demand.items():
            usable = self.usable(customer, now_s)
            lack = max(needed, LEAST_USABLE) - usable
            if lack > 0:
                yield CustomerDemand(customer=customer, demand=lack)

    def lend(
        self, asked: ShareState, in_flight: Mapping[CustomerId, int], now_s: float
    ) -> list[Loan]:
        """Lend an entry host what it lacks and this one does not use."""
        if asked.instance == self.instance:
            return []
        loans = []
        for entry in asked.demands:
            customer = CustomerId(entry.customer)
            spare = self._own_part(customer) - _sum(self._lent, customer, now_s)
            spare -= in_flight.get(customer, 0)
            amount = min(int(spare * _LENT_PART), entry.demand)
            if amount > 0:
                transfer = _Transfer(amount, now_s + self._loan_s)
                self._lent.setdefault(customer, []).append(transfer)
                duration_ms = round(self._loan_s * 1000)
                loans.append(Loan(customer=customer, amount=amount, duration_ms=duration_ms))
        return loans

    def borrow(self, loans: Iterable[Loan], asked_s: float) -> None:
        """Take in what a peer lent; ``asked_s`` is from before it was asked."""
        for loan in loans:
            transfer = _Transfer(loan.amount, asked_s + loan.duration_ms / 1000)
            self._borrowed.setdefault(CustomerId(loan.customer), []).append(transfer)

    def _own_part(self, customer: CustomerId) -> int:
        for share in self._own_shares():
            if share.customer == customer:
                return min(share.granted, share.target)
        return 0

    def _own_shares(self) -> Iterable[CustomerShare]:
        for holder in self._shares.holders:
            if holder.instance == self.instance:
                yield from holder.shares

    def _obeys(self, in_flight: Mapping[CustomerId, int], now_s: float) -> bool:
        """Tell whether what runs here and what is lent fits the newest targets."""
        targets = {CustomerId(share.customer): share.target for share in self._own_shares()}
        customers = set(in_flight) | set(self._lent)
        return all(
            in_flight.get(customer, 0) + _sum(self._lent, customer, now_s)
            <= targets.get(customer, 0) + _sum(self._borrowed, customer, now_s)
            for customer in customers
        )


def _sum(book: dict[CustomerId, list[_Transfer]], customer: CustomerId, now_s: float) -> int:
    """Sum up the loans of a customer that have not run out, and forget those that have."""
    current = [transfer for transfer in book.get(customer, []) if transfer.until_s > now_s]
    if customer in book:
        book[customer] = current
    return sum(transfer.amount for transfer in current)


def plan_shares(
    current: Shares,
    parts: Mapping[CustomerId, int],
    alive: Collection[str],
    gone: Collection[str],
    obeyed: Mapping[str, int],
    attempt: AttemptId,
) -> Shares | None:
    """Return the record that should follow, or None if nothing changes.

    ``parts`` are the data centre's parts of the limits; ``alive`` are the instances that should
    share them equally, ``gone`` those known to run no more; ``obeyed`` is the generation that each
    instance said it obeys. What is granted never sums past a part, unless the part was lowered
    and its holders have not obeyed yet.
    """
    following = Shares()
    following.CopyFrom(current)
    following.generation = current.generation + 1
    following.attempt_id = attempt
    _settle_targets(following, obeyed)
    _reclaim(following, alive, gone)
    _add_holders(following, alive)
    _set_targets(following, parts, alive)
    _grant(following, parts)
    if list(following.holders) == list(current.holders):
        return None
    return following


def _settle_targets(shares: Shares, obeyed: Mapping[str, int]) -> None:
    """Free what holders have given up, once they have said that they obey."""
    for holder in shares.holders:
        if obeyed.get(holder.instance, -1) < holder.changed_generation:
            continue
        for share in holder.shares:
            share.granted = min(share.granted, share.target)


def _reclaim(shares: Shares, alive: Collection[str], gone: Collection[str]) -> None:
    """Remove holders that are gone, and those not alive that hold nothing."""
    kept = [
        holder
        for holder in shares.holders
        if holder.instance not in gone
        and (holder.instance in alive or any(share.granted for share in holder.shares))
    ]
    del shares.holders[:]
    shares.holders.extend(kept)


def _add_holders(shares: Shares, alive: Collection[str]) -> None:
    present = {holder.instance for holder in shares.holders}
    for instance in sorted(set(alive) - present):
        shares.holders.append(ShareHolder(instance=instance))


def _set_targets(shares: Shares, parts: Mapping[CustomerId, int], alive: Collection[str]) -> None:
    """Aim at equal parts for live holders and none for the others."""
    living = sorted(holder.instance for holder in shares.holders if holder.instance in alive)
    places = {instance: place for place, instance in enumerate(living)}
    for holder in shares.holders:
        by_customer = {share.customer: share for share in holder.shares}
        for customer in sorted(set(parts) | set(by_customer)):
            share = by_customer.get(customer)
            if share is None:
                share = holder.shares.add(customer=customer)
            target = _equal_part(parts.get(CustomerId(customer), 0), holder.instance, places)
            if target < min(share.target, share.granted):
                holder.changed_generation = shares.generation
            share.target = target


def _equal_part(part: int, instance: str, places: Mapping[str, int]) -> int:
    """Return the part of one of several instances, of which some get one more."""
    if instance not in places:
        return 0
    whole, rest = divmod(part, len(places))
    return whole + (places[instance] < rest)


def _grant(shares: Shares, parts: Mapping[CustomerId, int]) -> None:
    """Raise holders below their targets from what is granted to nobody."""
    held: defaultdict[str, list[CustomerShare]] = defaultdict(list)
    for holder in shares.holders:
        for share in holder.shares:
            held[share.customer].append(share)
    for customer, part in parts.items():
        free = part - sum(share.granted for share in held[customer])
        for share in held[customer]:
            raised = min(max(0, share.target - share.granted), max(0, free))
            share.granted += raised
            free -= raised
