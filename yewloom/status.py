"""Descriptions of an entry host's state for operators and for Prometheus."""

from typing import Any

from prometheus_client import generate_latest

from yewloom.groups import group_state
from yewloom.ids import GroupId
from yewloom.node import Node


def describe(node: Node, now_s: float) -> dict[str, Any]:
    """Return this entry host's current state as JSON fields."""
    return {
        "entry_host": node.id,
        "data_centre": node.data_centre,
        "is_ready": node.is_ready,
        "table_digest": node.table.digest.hex(),
        "rows": {row.name: row.version for row in node.table.versions()},
        "members": [
            {"id": member.id, "data_centre": member.data_centre, "is_leaving": member.leaving}
            for member in node.membership.alive(now_s)
        ],
        "groups": _describe_groups(node, now_s),
        "shares": {name: node.shares.capacity(name, now_s) for name in node.table.customers()},
        "placements": {p.data_centre: p.generation for p in node.fleet.placement_versions()},
    }


def metrics_text(node: Node) -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(node.metrics.registry)


def _describe_groups(node: Node, now_s: float) -> list[dict[str, Any]]:
    freshness_s = node.settings.groups.freshness_ms / 1000
    descriptions = []
    for data_centre, group in node.fleet.groups():
        observation = node.fleet.group_observations.get(GroupId(group.id))
        descriptions.append(
            {
                "id": group.id,
                "data_centre": data_centre,
                "policy": group.policy,
                "model": group.model,
                "generation": group.generation,
                "state": group_state(group, observation, now_s, freshness_s).value,
                "is_open": node.fleet.is_open(group, now_s),
                "members": [member.host_id for member in group.members],
                "running": observation.running if observation is not None else 0,
                "waiting": observation.waiting if observation is not None else 0,
                "capacity": observation.capacity if observation is not None else 0,
            }
        )
    return descriptions
