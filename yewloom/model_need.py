"""Which model needs another replica most, based on the replicas of all data centres."""

from collections.abc import Mapping

from yewloom.configuration import EngineProfile, ReplicaModel
from yewloom.ids import ModelName
from yewloom.values import value_class

REPLICA_TOLERANCE = 0.5
"""Difference in replicas up to which models count as equally supplied. Equally supplied models are
ordered by group size, smallest first, as the loss of a host takes less capacity out of service when
groups are small."""

DEMAND_TIME_CONSTANT_S = 5.0
"""Time constant of the demand average: the duration of a few requests, well below the time to load
weights."""

PRIOR_REQUESTS = 10.0
"""Weight of the configured shares in the demand estimate, as a number of running requests."""


@value_class
class ModelNeed:
    """Replicas of each model relative to its demand.

    ``replicas`` counts replicas in all data centres, both serving and forming. ``demand`` is each
    model's share of the work, in replicas; only the proportions matter.
    """

    profile: EngineProfile
    replicas: Mapping[ModelName, int]
    demand: Mapping[ModelName, float]

    def models_by_need(self) -> list[ReplicaModel]:
        """Return the models, the one with the greatest shortage of replicas first."""
        return sorted(self.profile.models.values(), key=self._priority)

    def with_added_replica(self, model: ModelName) -> "ModelNeed":
        """Return a copy with one more replica of a model."""
        replicas = dict(self.replicas)
        replicas[model] = replicas.get(model, 0) + 1
        return ModelNeed(self.profile, replicas, self.demand)

    def is_exchange_worthwhile(
        self, source: ModelName, target: ModelName, source_count: int
    ) -> bool:
        """Return whether one replica of ``target`` is worth ``source_count`` of ``source``.

        The source model must keep at least one replica, and at least as many as the target model
        relative to its demand.
        """
        remaining = self.replicas.get(source, 0) - source_count
        gained = self.replicas.get(target, 0) + 1
        return remaining > 0 and remaining / self._demand(source) >= gained / self._demand(target)

    def _priority(self, model: ReplicaModel) -> tuple[int, int, str]:
        supply = self.replicas.get(model.name, 0) / self._demand(model.name)
        average = sum(self._demand(name) for name in self.profile.models) / len(self.profile.models)
        return round(supply * average / REPLICA_TOLERANCE), model.group_size, model.name

    def _demand(self, model: ModelName) -> float:
        return max(self.demand.get(model, 0.0), 1e-6)


def configured_demand(profile: EngineProfile) -> dict[ModelName, float]:
    """Return the demand in replicas that follows from the configured shares of the hosts."""
    return {
        model.name: model.initial_host_share / model.group_size for model in profile.models.values()
    }


class DemandMeter:
    """Time average of the number of requests of each model that run on all entry hosts together.

    The configured shares are added as a prior that weighs as much as ``PRIOR_REQUESTS``.
    """

    def __init__(self) -> None:
        self._average: dict[ModelName, float] = {}
        self._sampled_s: float | None = None

    def sample(self, running: Mapping[ModelName, int], now_s: float) -> None:
        """Record how many requests of each model are running now."""
        last_s, self._sampled_s = self._sampled_s, now_s
        weight = 1.0 if last_s is None else min(1.0, (now_s - last_s) / DEMAND_TIME_CONSTANT_S)
        for model in {*running, *self._average}:
            known = self._average.get(model, 0.0)
            self._average[model] = known + weight * (running.get(model, 0) - known)

    def demand(self, profile: EngineProfile) -> dict[ModelName, float]:
        """Return the demand for each model, of which only the proportions matter."""
        prior = configured_demand(profile)
        total = sum(prior.values()) or 1.0
        return {
            model: self._average.get(model, 0.0) + PRIOR_REQUESTS * share / total
            for model, share in prior.items()
        }
