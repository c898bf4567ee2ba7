"""Finds out what to do about a silent stream, by probing the engines of its path."""

import asyncio
from collections.abc import Sequence

from minttide.ids import UpstreamId
from minttide.layers.paths import RequestSize
from minttide.layers.silence import RemedyChoice, Silence, choose_remedy
from minttide.layers.takeover import takeover_ms
from minttide.routing.routes import ModelSpec
from minttide.routing.sources import EngineReport
from minttided.gateway.streams.attempt import StreamAttempt
from minttided.gateway.streams.context import StreamContext
from minttided.gateway.streams.log import Progress
from minttided.gateway.streams.paths import StreamPaths


class StreamRemedies:
    """The remedies for the silence of one stream."""

    def __init__(
        self,
        context: StreamContext,
        model: ModelSpec,
        request_size: RequestSize,
        paths: StreamPaths,
        progress: Progress,
    ):
        self._context = context
        self._model = model
        self._request_size = request_size
        self._paths = paths
        self._progress = progress

    async def choose(self, attempt: StreamAttempt, silence: Silence) -> RemedyChoice:
        """Probe the engines of a silent attempt and choose a remedy."""
        path = attempt.path
        unresponsive, reports = await self._probe_engines([s.engine for s in path], silence)
        head = reports.get(path[0].engine)
        stalled = self._paths.find_stalled(head.stalled if head is not None else ())
        return choose_remedy(path, unresponsive, list(reports.values()), stalled, silence)

    async def _probe_engines(
        self, engines: Sequence[UpstreamId], silence: Silence
    ) -> tuple[set[UpstreamId], dict[UpstreamId, EngineReport]]:
        """Return the engines that don't respond, and the reports of the others.

        After a short silence, this connects to each engine and fetches the report of the first
        only. After a long one, it fetches the reports of all.
        """
        probes = self._context.probes
        if silence.needs_reports:
            found = await probes.fetch_reports(engines)
        else:
            unreachable, found = await asyncio.gather(
                probes.find_unreachable(engines), probes.fetch_reports(engines[:1])
            )
            found.update(dict.fromkeys(unreachable))
        reports = {engine: report for engine, report in found.items() if report is not None}
        return {engine for engine, report in found.items() if report is None}, reports

    def is_restart_faster(self, attempt: StreamAttempt) -> bool:
        """Return whether a restart on a new path gives the next event sooner than moving it."""
        new_path = self._paths.choose()
        if new_path is None:
            return False
        moved_path = self._paths.choose_moved(attempt.path[0].engine)
        if moved_path is None:
            return True
        tokens = self._request_size.prompt + self._model.event_tokens * self._progress.events
        moved_ms = takeover_ms(self._model, moved_path, attempt.path, tokens)
        return takeover_ms(self._model, new_path, (), tokens) < moved_ms
