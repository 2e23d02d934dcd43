"""Which model needs another replica most, from the replicas of all data centres."""

from collections.abc import Mapping

from yewloom.configuration import EngineProfile, ReplicaModel
from yewloom.ids import ModelName
from yewloom.values import value_class

EVEN_REPLICAS = 0.5
"""Replicas by which models must differ to count as uneven; even ones go by size: of small groups,
a lost host breaks less."""

DEMAND_AVERAGE_S = 5.0
"""Time over which demand is averaged: some requests' length, and well under a load."""

PRIOR_REQUESTS = 10.0
"""Running requests that the configured shares weigh as much as."""


@value_class
class ModelNeed:
    """Replicas of each model against what is wanted of it.

    ``replicas`` counts those that serve or form in all data centres. ``demand`` is each model's
    part of the work in replicas; only its proportions matter.
    """

    profile: EngineProfile
    replicas: Mapping[ModelName, int]
    demand: Mapping[ModelName, float]

    def order(self) -> list[ReplicaModel]:
        """Return the models, the one that lacks replicas most first."""
        return sorted(self.profile.models.values(), key=self._rank)

    def with_one_more(self, model: ModelName) -> "ModelNeed":
        """Return the need after one more replica of a model was formed."""
        replicas = dict(self.replicas)
        replicas[model] = replicas.get(model, 0) + 1
        return ModelNeed(self.profile, replicas, self.demand)

    def may_exchange(self, given: ModelName, taken: ModelName, given_count: int) -> bool:
        """Tell whether one replica of ``taken`` is worth ``given_count`` of ``given``."""
        left = self.replicas.get(given, 0) - given_count
        gained = self.replicas.get(taken, 0) + 1
        return left > 0 and left / self._demand(given) >= gained / self._demand(taken)

    def _rank(self, model: ReplicaModel) -> tuple[int, int, str]:
        supply = self.replicas.get(model.name, 0) / self._demand(model.name)
        usual = sum(self._demand(name) for name in self.profile.models) / len(self.profile.models)
        return round(supply * usual / EVEN_REPLICAS), model.group_size, model.name

    def _demand(self, model: ModelName) -> float:
        return max(self.demand.get(model, 0.0), 1e-6)


def starting_demand(profile: EngineProfile) -> dict[ModelName, float]:
    """Return the demand in replicas that the configured shares of the hosts stand for."""
    return {model.name: model.share / model.group_size for model in profile.models.values()}


class DemandMeter:
    """Averages how many requests of each model run at once, in all entry hosts.

    The configured shares count as ``PRIOR_REQUESTS`` until requests tell more.
    """

    def __init__(self) -> None:
        self._average: dict[ModelName, float] = {}
        self._sampled_s: float | None = None

    def sample(self, running: Mapping[ModelName, int], now_s: float) -> None:
        """Take in how many requests run now."""
        last_s, self._sampled_s = self._sampled_s, now_s
        weight = 1.0 if last_s is None else min(1.0, (now_s - last_s) / DEMAND_AVERAGE_S)
        for model in {*running, *self._average}:
            known = self._average.get(model, 0.0)
            self._average[model] = known + weight * (running.get(model, 0) - known)

    def demand(self, profile: EngineProfile) -> dict[ModelName, float]:
        """Return the demand for each model; only the proportions matter."""
        prior = starting_demand(profile)
        total = sum(prior.values()) or 1.0
        return {
            model: self._average.get(model, 0.0) + PRIOR_REQUESTS * part / total
            for model, part in prior.items()
        }
