"""Knows what engines hold of the prompts of streams, and reports what the choices make of it."""

import logging
from collections.abc import Mapping

from minttide.ids import ServiceName, UpstreamId
from minttide.layers.paths import Path, RequestSize
from minttide.policy.prefix_affinity import (
    HeldPrefix,
    HeldPrefixes,
    PrefixHomes,
    SentPrefixes,
    held_by_all,
)
from minttide.routing.routes import ModelSpec, UpstreamEntry
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.streams.loads import EngineLoads

log = logging.getLogger(__name__)

NOT_HELD = HeldPrefix(0.0)


class StreamPrefixes:
    """What this host has sent to engines that keep prompts after their requests.

    A request whose `RequestSize.prefixes` is None is for engines that keep none, and is ignored.
    """

    def __init__(self, state: GatewayState, loads: EngineLoads):
        self._state = state
        self._loads = loads
        self._sent = SentPrefixes()
        self._listed: Mapping[UpstreamId, UpstreamEntry] = {}
        self._homes: dict[ServiceName, PrefixHomes] = {}

    def find_candidates(
        self, service: ServiceName, model: ModelSpec, size: RequestSize
    ) -> HeldPrefixes:
        """Return what `find_held` does, and the homes of the prompt if there are other hosts."""
        held = self.find_held(model, size)
        if not size.prefixes or self._loads.count_hosts() <= 1.0:
            return held
        return {**self._service_homes(service).find(size.prefixes), **held}

    def _service_homes(self, service: ServiceName) -> PrefixHomes:
        if self._listed is not self._state.upstreams:
            self._listed = self._state.upstreams
            self._homes.clear()
        if service not in self._homes:
            engines = self._state.active_upstreams(service)
            self._homes[service] = PrefixHomes(engines, self._state.cfg.zone)
        return self._homes[service]

    def find_held(self, model: ModelSpec, size: RequestSize) -> HeldPrefixes:
        """Return what each listed engine should hold of a request's prompt."""
        if not size.prefixes:
            return {}
        hosts = self._loads.count_hosts()
        return self._sent.held(
            size.prefixes, self._state.upstreams, model.retained_tokens, hosts, now_s()
        )

    def report_choice(
        self, request: GatewayRequest, model: ModelSpec, size: RequestSize, path: Path
    ) -> None:
        """Count and log the tokens that a path should save, beside the most that any engine holds.

        To be called before the path is sent to.
        """
        held = self.find_held(model, size)
        if not held:
            return
        # Callers give the sizes of parts, which may be more than the prompt.
        tokens = {engine: min(prefix.tokens, size.prompt) for engine, prefix in held.items()}
        saved = held_by_all(tokens, (stage.engine for stage in path))
        most = max(tokens.values())
        self._state.metrics.count_prefix_tokens(request.service, saved, most - saved)
        ages_s = [held.get(stage.engine, NOT_HELD).age_s for stage in path]
        log.info(
            "prefix weighed",
            extra={
                "request": request.attempt_id,
                "saved": saved,
                "held": most,
                "holders": len(held),
                "age_s": max(ages_s if saved else (p.age_s for p in held.values())),
            },
        )

    def record_read(self, path: Path, size: RequestSize) -> None:
        """Record that the engines of a path have read the prompt of a request.

        Engines that are listed with other layers by now are left out.
        """
        if size.prefixes is None:
            return
        listed = ((stage, self._state.upstreams.get(stage.engine)) for stage in path)
        engines = [e for stage, e in listed if e is not None and e.layers == stage.layers]
        self._sent.record(engines, size.prefixes, size.prompt, now_s())

    def forget(self, engine: UpstreamId) -> None:
        """Discard what is known of an engine that doesn't respond: it may have restarted."""
        self._sent.forget(engine)
