"""Loads of models' weights onto hosts, within the rate that the weight store bears."""

from yewloom.configuration import EngineProfile, ReplicaModel
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.plan_state import PlannedOrder, PlanState, Staging
from yewloom.replica_orders import StageModel
from yewloom.values import value_class

LOADS_WINDOW_S = 5.0
"""Window over which loads from the weight store are counted, as the platform counts them."""

STAGE_LIMIT_FACTOR = 3.0
"""Loading that takes this many times its usual time is begun anew."""


@value_class
class SupplyBounds:
    """``loads_are_free`` before the first request; else at most ``max_loads`` in a window."""

    loads_are_free: bool
    max_loads: int


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

    def is_loading(self, endpoint: Endpoint) -> bool:
        """Tell whether weights are being loaded onto a host."""
        return endpoint.id in self._state.staging

    def load(self, endpoint: Endpoint, model: ReplicaModel, now_s: float) -> None:
        """Load weights onto a host, unless it is loading or too many loads began lately."""
        if self.is_loading(endpoint):
            return
        recent = [time_s for time_s in self._state.load_times_s if now_s - time_s < LOADS_WINDOW_S]
        if len(recent) >= self._bounds.max_loads and not self._bounds.loads_are_free:
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
