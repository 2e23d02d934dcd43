"""Loads of models' weights onto hosts, within the rate that the weight store bears."""

from yewloom.configuration import EngineProfile, ReplicaModel
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.plan_state import PlannedOrder, PlanState, Staging
from yewloom.replica_orders import StageModel
from yewloom.values import value_class

LOADS_WINDOW_S = 5.0
"""Window over which loads from the weight store are counted, as the platform counts them."""

LOADS_SHARE = 0.9
"""Part of the weight store's rate that all data centres use together."""

STAGE_LIMIT_FACTOR = 3.0
"""Loading that takes this many times its usual time is begun anew."""


@value_class
class SupplyBounds:
    """``loads_are_free`` before the first request; else ``max_loads`` in ``window_s`` at most."""

    loads_are_free: bool
    max_loads: int
    window_s: float = LOADS_WINDOW_S


def supply_bounds(loads_are_free: bool, loads_per_s: float, data_centres: int) -> SupplyBounds:
    """Return one data centre's part of the loads that the weight store bears.

    A part of less than one load in a window is one load in as many windows.
    """
    part = loads_per_s * LOADS_WINDOW_S * LOADS_SHARE / data_centres
    if part >= 1:
        return SupplyBounds(loads_are_free, int(part))
    return SupplyBounds(loads_are_free, 1, LOADS_WINDOW_S / part)


class WeightLoads:
    """Begins loads and forgets those that are over; ``orders`` gathers what is to be ordered."""

    def __init__(
        self,
        profile: EngineProfile,
        directory: EndpointDirectory,
        state: PlanState,
        bounds: SupplyBounds,
    ) -> None:
        self._profile = profile
        self._directory = directory
        self._state = state
        self._bounds = bounds
        self.orders: list[PlannedOrder] = []

    def is_loading(self, endpoint: Endpoint, now_s: float) -> bool:
        """Tell whether weights are being loaded onto a host, by this coordinator or another one."""
        return endpoint.id in self._state.staging or self._state.is_busy(endpoint.id, now_s)

    def load(self, endpoint: Endpoint, model: ReplicaModel, now_s: float) -> None:
        """Load weights onto a host, unless it is loading or too many loads began lately."""
        if self.is_loading(endpoint, now_s):
            return
        bounds = self._bounds
        recent = [time_s for time_s in self._state.load_times_s if now_s - time_s < bounds.window_s]
        if len(recent) >= bounds.max_loads and not bounds.loads_are_free:
            return
        self._state.load_times_s = [*recent, now_s]
        self._state.staging[endpoint.id] = Staging(model.name, now_s)
        order = StageModel(model.name)
        self.orders.append(
            PlannedOrder(endpoint.id, endpoint.address, order, endpoint.started_unix_ms)
        )

    def forget_ended(self, now_s: float) -> None:
        """Forget loads that are done, that take too long, or whose host is gone."""
        for host, staging in list(self._state.staging.items()):
            model = self._profile.models.get(staging.model)
            limit_s = STAGE_LIMIT_FACTOR * model.load_s if model is not None else 0.0
            endpoint = self._directory.by_id.get(host)
            is_done = endpoint is None or staging.model in endpoint.staged
            if is_done or now_s - staging.since_s > limit_s:
                del self._state.staging[host]
