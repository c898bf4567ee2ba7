"""The layers, power level and fencing token of a stand-in engine, and the loading of weights."""

import asyncio
from collections.abc import Callable

from minttide.config.service import AcceleratorKind, Engine, Model, PowerLevel
from minttide.ids import NO_OFFSET, ModelVersion, Offset, ServiceName
from minttide.interfaces import StaleFencingError
from minttide.steps import EngineState, Order
from minttide_fakes.stage import Stage
from minttide_fakes.weights import FakeWeightStore

KB_PER_MB = 1024


class EngineAllocation:
    """The layers and power level of one engine, as set by orders.

    An engine that checks fencing tokens boots at its lowest power level, others at their highest.
    """

    def __init__(
        self,
        engine: Engine,
        kind: AcceleratorKind,
        models: dict[ServiceName, Model],
        weights: FakeWeightStore | None,
        stage: Stage,
    ) -> None:
        self.leaving = False
        self.orders: list[Order] = []
        self.peak_watts = 0
        self.on_watts: Callable[[], None] = lambda: None
        self._engine = engine
        self._models = models
        self._weights = weights
        self._stage = stage
        self._memory_mb = kind.memory_mb * engine.accelerators
        self._loading: asyncio.Task[None] | None = None
        count = engine.accelerators
        self._levels = [PowerLevel(p.watts * count, p.speed * count) for p in kind.power]
        self.boot()

    def boot(self) -> None:
        """Reset to the state of a new process, without layers and without a fencing token."""
        self.leaving = False
        self._fencing = NO_OFFSET
        self._service, self._version = ServiceName(""), ModelVersion("")
        self._first = self._last = 0
        level = self._levels[0] if self._engine.checks_fencing else self._levels[-1]
        self._set_watts(level.watts)

    def stop(self) -> None:
        """Cancel loading."""
        if self._loading is not None:
            self._loading.cancel()

    @property
    def watts(self) -> int:
        """Return the current power level in watts."""
        return self._watts

    @property
    def is_loading(self) -> bool:
        """Return whether layers are being loaded."""
        return self._loading is not None and not self._loading.done()

    @property
    def state(self) -> EngineState:
        """Return the state that the engine reports."""
        return EngineState(
            self._engine.id,
            self._fencing,
            self._service,
            self._version,
            self._first,
            self._last,
            self._watts,
            self.is_loading,
            self.leaving,
        )

    @property
    def speed(self) -> float:
        """Return the speed at this power level, as a multiple of one accelerator's rated speed."""
        speeds = [level.speed for level in self._levels if level.watts <= self._watts]
        return max(speeds, default=self._levels[0].speed)

    @property
    def width_layers(self) -> float:
        """Return the held layers in multiples of a layer of the reference width."""
        model = self._models.get(self._service)
        return (self._last - self._first) * (model.width if model else 1.0)

    @property
    def kv_free_mb(self) -> float:
        """Return the free memory for KV caches in MB."""
        model = self._models.get(self._service)
        if model is None:
            return float(self._memory_mb)
        layers = self._last - self._first
        used_mb = layers * model.mb_per_layer
        used_mb += self._stage.kv_tokens * layers * model.kv_kb_per_token_layer / KB_PER_MB
        return max(0.0, self._memory_mb - used_mb)

    @property
    def kv_free_tokens(self) -> float:
        """Return how many more tokens fit into the KV caches of the held layers."""
        model = self._models.get(self._service)
        layers = self._last - self._first
        if model is None or not layers or not model.kv_kb_per_token_layer:
            return float("inf")
        return self.kv_free_mb * KB_PER_MB / (layers * model.kv_kb_per_token_layer)

    def hold(
        self, service: ServiceName, version: ModelVersion, first: int, last: int, watts: int
    ) -> None:
        """Set layers and power level immediately, without an order or loading time."""
        self._service, self._version = service, version
        self._first, self._last = first, last
        self._stage.hold(service, version, first, last)
        self._set_watts(watts)

    def apply(self, order: Order) -> EngineState:
        """Apply an order: set the power level immediately and load other layers in the background.

        Raises `StaleFencingError` if the engine checks fencing tokens and has seen a newer one.
        """
        if self._engine.checks_fencing and order.fencing < self._fencing:
            raise StaleFencingError(f"{self._engine.id} has seen fencing token {self._fencing}")
        self._fencing = Offset(max(self._fencing, order.fencing))
        self.orders.append(order)
        self._set_watts(order.watts)
        target = (order.service, order.version, order.first, order.last)
        if target != (self._service, self._version, self._first, self._last):
            self._start_load(order)
        return self.state

    def _start_load(self, order: Order) -> None:
        self.stop()
        missing_mb = self._count_missing_mb(order)
        self._service, self._version = order.service, order.version
        self._first, self._last = order.first, order.last
        self._stage.hold(ServiceName(""), ModelVersion(""), 0, 0)
        self._loading = asyncio.create_task(self._finish_load(order, missing_mb))

    def _count_missing_mb(self, order: Order) -> float:
        model = self._models.get(order.service)
        held: set[int] = set()
        if (order.service, order.version) == (self._service, self._version):
            held = set(range(self._first, self._last))
        missing = set(range(order.first, order.last)) - held
        return len(missing) * (model.mb_per_layer if model else 0.0)

    async def _finish_load(self, order: Order, missing_mb: float) -> None:
        if self._weights is not None:
            await self._weights.load(missing_mb)
        self._stage.hold(order.service, order.version, order.first, order.last)

    def _set_watts(self, watts: int) -> None:
        self._watts = watts
        self.peak_watts = max(self.peak_watts, watts)
        self.on_watts()
