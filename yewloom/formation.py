"""Formation of groups: selects the next policy and assigns free hosts to it."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from functools import singledispatch

from google.protobuf.message import Message

from yewloom.drafts import Draft
from yewloom.groups import HostObservation
from yewloom.ids import HostId, PolicyName
from yewloom.schema.records_pb2 import Host
from yewloom.schema.table_pb2 import DowntimePlacement, PolicyRow, StrandedPlacement
from yewloom.states import GroupIntent


def form_groups(
    draft: Draft,
    policies: Mapping[PolicyName, PolicyRow],
    hosts: Mapping[HostId, HostObservation],
    free: list[Host],
) -> None:
    """Form groups from free hosts, starting with the policy that is furthest below its target."""
    blocked: set[PolicyName] = set()
    while len(blocked) < len(policies):
        name = _next_policy(draft, policies, blocked)
        policy = policies[name]
        chosen = _choose_for_policy(draft, name, policy, free, hosts)
        if not chosen:
            blocked.add(name)
            continue
        draft.form(name, policy, chosen)
        chosen_ids = {host.id for host in chosen}
        free = [host for host in free if host.id not in chosen_ids]


def _next_policy(
    draft: Draft, policies: Mapping[PolicyName, PolicyRow], blocked: set[PolicyName]
) -> PolicyName:
    """Return the policy to form a group for next.

    Policies below their minimum number of groups come first, then those with the fewest groups
    relative to their weight.
    """

    def sort_key(name: PolicyName) -> tuple[bool, float, str]:
        count = len(draft.formed_groups(GroupIntent.ACTIVE, name))
        return count >= policies[name].min_groups, count / policies[name].weight, name

    return min((name for name in policies if name not in blocked), key=sort_key)


def _choose_for_policy(
    draft: Draft,
    name: PolicyName,
    policy: PolicyRow,
    free: Sequence[Host],
    hosts: Mapping[HostId, HostObservation],
) -> list[Host]:
    active = len(draft.formed_groups(GroupIntent.ACTIVE, name))
    if active >= policy.max_groups:
        return []
    cached = _hosts_with_weights(policy, hosts)
    preferred = sorted(free, key=lambda host: (HostId(host.id) not in cached, host.id))
    needed = bool(draft.placeholders(name)) or active < policy.min_groups
    kind = policy.WhichOneof("placement")
    placement: Message = getattr(policy, kind) if kind else StrandedPlacement()
    return choose_members(placement, preferred, policy.group_size, needed)


def _hosts_with_weights(policy: PolicyRow, hosts: Mapping[HostId, HostObservation]) -> set[HostId]:
    wanted = f"{policy.model}@{policy.model_version}"
    return {
        host
        for host, known in hosts.items()
        if known.report is not None and known.report.cached_model == wanted
    }


@singledispatch
def choose_members(placement: Message, free: Sequence[Host], size: int, needed: bool) -> list[Host]:
    """Choose the hosts of the next group; return an empty list if none can be formed.

    ``free`` is in order of preference; ``needed`` means that the group replaces a lost one or
    that the policy is below its minimum number of groups.
    """
    raise TypeError(f"unsupported placement strategy: {type(placement).__name__}")


@choose_members.register
def _(placement: DowntimePlacement, free: Sequence[Host], size: int, needed: bool) -> list[Host]:
    """Use one fabric domain; leave spare hosts in it unless the group is needed."""
    spare = 0 if needed else placement.spare_hosts
    domains = [hosts for hosts in _by_domain(free) if len(hosts) >= size + spare]
    return max(domains, key=len)[:size] if domains else []


@choose_members.register
def _(placement: StrandedPlacement, free: Sequence[Host], size: int, needed: bool) -> list[Host]:
    """Use the smallest sufficient domain, else combine domains if that is allowed.

    This leaves few hosts stranded in domains that are too small for another group.
    """
    domains = _by_domain(free)
    large_enough = [hosts for hosts in domains if len(hosts) >= size]
    if large_enough:
        return min(large_enough, key=len)[:size]
    if not placement.cross_domain or len(free) < size:
        return []
    combined = [host for hosts in sorted(domains, key=len, reverse=True) for host in hosts]
    return combined[:size]


def _by_domain(free: Sequence[Host]) -> list[list[Host]]:
    domains: defaultdict[str, list[Host]] = defaultdict(list)
    for host in free:
        domains[host.fabric_domain].append(host)
    return [domains[name] for name in sorted(domains)]
