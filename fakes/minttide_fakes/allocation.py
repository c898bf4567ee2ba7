"""What a stand-in engine holds: layers, fencing number, power level and the load of weights."""

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
    """The layers and the power level of one engine, as orders set them.

    An engine that checks fencing numbers boots at its lowest power level, another at its highest.
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
        """Become a new process that holds nothing and has seen no fencing number."""
        self.leaving = False
        self._fencing = NO_OFFSET
        self._service, self._version = ServiceName(""), ModelVersion("")
        self._first = self._last = 0
        level = self._levels[0] if self._engine.checks_fencing else self._levels[-1]
        self._set_watts(level.watts)

    def stop(self) -> None:
        """Break a load off."""
        if self._loading is not None:
            self._loading.cancel()

    @property
    def watts(self) -> int:
        """Return the power level that is set now."""
        return self._watts

    @property
    def is_loading(self) -> bool:
        """Return whether layers are being loaded."""
        return self._loading is not None and not self._loading.done()

    @property
    def state(self) -> EngineState:
        """Return what the engine says that it holds."""
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
        allowed = [level.speed for level in self._levels if level.watts <= self._watts]
        return max(allowed, default=self._levels[0].speed)

    @property
    def width_layers(self) -> float:
        """Return how many layers of the reference width the held layers are worth."""
        model = self._models.get(self._service)
        return (self._last - self._first) * (model.width if model else 1.0)

    @property
    def kv_free_mb(self) -> float:
        """Return the memory that is left for KV caches."""
        model = self._models.get(self._service)
        if model is None:
            return float(self._memory_mb)
        layers = self._last - self._first
        used = layers * model.mb_per_layer
        used += self._stage.kv_tokens * layers * model.kv_kb_per_token_layer / KB_PER_MB
        return max(0.0, self._memory_mb - used)

    @property
    def kv_free_tokens(self) -> float:
        """Return how many more tokens the KV caches of the held layers can take."""
        model = self._models.get(self._service)
        layers = self._last - self._first
        if model is None or not layers or not model.kv_kb_per_token_layer:
            return float("inf")
        return self.kv_free_mb * KB_PER_MB / (layers * model.kv_kb_per_token_layer)

    def hold(
        self, service: ServiceName, version: ModelVersion, first: int, last: int, watts: int
    ) -> None:
        """Hold these layers at once, without an order or a load time."""
        self._service, self._version = service, version
        self._first, self._last = first, last
        self._stage.hold(service, version, first, last)
        self._set_watts(watts)

    def take(self, order: Order) -> EngineState:
        """Take an order: set the power at once and load other layers in the background.

        Raises `StaleFencingError` where the engine checks the number.
        """
        if self._engine.checks_fencing and order.fencing < self._fencing:
            raise StaleFencingError(f"{self._engine.id} has taken {self._fencing}")
        self._fencing = Offset(max(self._fencing, order.fencing))
        self.orders.append(order)
        self._set_watts(order.watts)
        wanted = (order.service, order.version, order.first, order.last)
        if wanted != (self._service, self._version, self._first, self._last):
            self._load(order)
        return self.state

    def _load(self, order: Order) -> None:
        self.stop()
        megabytes = self._missing_mb(order)
        self._service, self._version = order.service, order.version
        self._first, self._last = order.first, order.last
        self._stage.hold(ServiceName(""), ModelVersion(""), 0, 0)
        self._loading = asyncio.create_task(self._finish_load(order, megabytes))

    def _missing_mb(self, order: Order) -> float:
        model = self._models.get(order.service)
        held: set[int] = set()
        if (order.service, order.version) == (self._service, self._version):
            held = set(range(self._first, self._last))
        missing = set(range(order.first, order.last)) - held
        return len(missing) * (model.mb_per_layer if model else 0.0)

    async def _finish_load(self, order: Order, megabytes: float) -> None:
        if self._weights is not None:
            await self._weights.load(megabytes)
        self._stage.hold(order.service, order.version, order.first, order.last)

    def _set_watts(self, watts: int) -> None:
        self._watts = watts
        self.peak_watts = max(self.peak_watts, watts)
        self.on_watts()
