"""Loads of models' weights onto hosts, within the rate limit of the weight store."""

from collections.abc import Iterable

from yewloom.configuration import EngineProfile, ReplicaModel
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.ids import ModelName
from yewloom.plan_state import LoadInProgress, PlannedOrder, PlanState
from yewloom.replica_orders import StageModel
from yewloom.values import value_class

LOADS_WINDOW_S = 5.0
"""Window over which loads from the weight store are counted, as the platform counts them."""

LOADS_SHARE = 0.9
"""Share of the weight store's rate limit that all data centres use together."""

LOAD_TIMEOUT_FACTOR = 3.0
"""Multiple of the usual load time after which a load is considered failed and may be restarted."""


@value_class
class LoadLimit:
    """Limit on weight loads: at most ``max_loads`` per ``window_s``, unless ``is_unlimited``.

    Loads are unlimited before the first request.
    """

    is_unlimited: bool
    max_loads: int
    window_s: float = LOADS_WINDOW_S


def compute_load_limit(is_unlimited: bool, loads_per_s: float, data_centres: int) -> LoadLimit:
    """Return one data centre's share of the weight store's rate limit.

    A share of less than one load per window becomes one load in a longer window.
    """
    share = loads_per_s * LOADS_WINDOW_S * LOADS_SHARE / data_centres
    if share >= 1:
        return LoadLimit(is_unlimited, int(share))
    return LoadLimit(is_unlimited, 1, LOADS_WINDOW_S / share)


class WeightLoads:
    """Starts and tracks loads; ``orders`` collects the orders to send."""

    def __init__(
        self,
        profile: EngineProfile,
        directory: EndpointDirectory,
        state: PlanState,
        load_limit: LoadLimit,
    ) -> None:
        self._profile = profile
        self._directory = directory
        self._state = state
        self._load_limit = load_limit
        self.orders: list[PlannedOrder] = []

    def is_loading(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether a host is loading weights, by order of this or another coordinator."""
        return endpoint.id in self._state.loads_in_progress or self._state.is_busy(
            endpoint.id, now_s
        )

    def loading_models(self, endpoints: Iterable[Endpoint]) -> list[ModelName]:
        """Return the models that are being loaded onto some hosts, once for each host."""
        loads = self._state.loads_in_progress
        return [loads[endpoint.id].model for endpoint in endpoints if endpoint.id in loads]

    def load(self, endpoint: Endpoint, model: ReplicaModel, now_s: float) -> bool:
        """Load weights onto a host; return False if it is loading or the limit is reached."""
        if self.is_loading(endpoint, now_s):
            return False
        load_limit = self._load_limit
        recent = [
            time_s
            for time_s in self._state.recent_load_starts_s
            if now_s - time_s < load_limit.window_s
        ]
        if len(recent) >= load_limit.max_loads and not load_limit.is_unlimited:
            return False
        self._state.recent_load_starts_s = [*recent, now_s]
        self._state.loads_in_progress[endpoint.id] = LoadInProgress(model.name, now_s)
        order = StageModel(model.name)
        self.orders.append(
            PlannedOrder(endpoint.id, endpoint.address, order, endpoint.started_unix_ms)
        )
        return True

    def drop_finished(self, now_s: float) -> None:
        """Drop loads that have finished or timed out, or whose host is no longer listed."""
        for host, load in list(self._state.loads_in_progress.items()):
            model = self._profile.models.get(load.model)
            limit_s = LOAD_TIMEOUT_FACTOR * model.load_s if model is not None else 0.0
            endpoint = self._directory.by_id.get(host)
            is_finished = endpoint is None or load.model in endpoint.staged
            if is_finished or now_s - load.since_s > limit_s:
                del self._state.loads_in_progress[host]
