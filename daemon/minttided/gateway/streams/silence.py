"""Handles the silence of a stream: checks the engines, and moves the stream or sends it again.

An attempt that may still finish is not ended before another has begun to answer: an engine that is
silent may go on, and the next one may reject the request, fail or be silent as well.
"""

import logging
from typing import Protocol

from minttide.ids import UpstreamId
from minttide.layers.silence import Remedy, RemedyChoice, Silence
from minttided.gateway.callers.crash_guard import CrashGuard
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import now_s
from minttided.gateway.streams.attempt import ResumedError, StreamAttempt
from minttided.gateway.streams.context import StreamContext
from minttided.gateway.streams.engine_runs import EngineRuns
from minttided.gateway.streams.log import Progress, StreamLog
from minttided.gateway.streams.openings import SentAttempt
from minttided.gateway.streams.paths import StreamPaths
from minttided.gateway.streams.remedies import StreamRemedies
from minttided.http.client import ExchangeError

log = logging.getLogger(__name__)

MIN_RESTART_BUDGET = 2.0
"""Retries that must be left in the budget to restart a stream that could be moved instead."""

BLOCKED = "the request or a part of its prompt is blocked"


class SilentStream(Protocol):
    """The stream whose silence is handled. Times are in loop seconds."""

    progress: Progress

    @property
    def is_resumable(self) -> bool:
        """Return whether the stream can go on in another attempt, should it have begun."""

    @property
    def has_begun(self) -> bool:
        """Return whether an attempt has begun to answer and goes on."""

    def is_newest(self, sent: SentAttempt) -> bool:
        """Return whether no attempt was sent after this one that goes on."""

    def may_retry(self) -> bool:
        """Return whether the request's own limits allow another send, apart from the budget."""

    async def verify_may_retry(self, can_wait: bool) -> bool:
        """Return `may_retry`, after the engines that seem to have ended were probed again.

        With `can_wait`, until it is clear whether they have ended.
        """

    def send(self, first: UpstreamId | None = None, leaves_places: bool = False) -> str | None:
        """Send the request along a newly chosen path; return the reason if it can't be sent."""

    async def settle_openings(self, sent: SentAttempt) -> None:
        """Send again in place of each failed replacement of `sent`, if it is the current attempt.

        Raises `ReplacedError` if one has begun to answer.
        """


class SilenceHandler:
    """Finds out why the attempts of one stream are silent, and acts on it."""

    def __init__(
        self,
        context: StreamContext,
        request: GatewayRequest,
        stream: SilentStream,
        paths: StreamPaths,
        remedies: StreamRemedies,
        engine_runs: EngineRuns,
        crash_guard: CrashGuard,
        stream_log: StreamLog,
    ):
        self._context = context
        self._request = request
        self._stream = stream
        self._paths = paths
        self._remedies = remedies
        self._engine_runs = engine_runs
        self._crash_guard = crash_guard
        self._log = stream_log

    async def check(self, sent: SentAttempt) -> None:
        """Find out why an attempt is silent, and act on it.

        Raises `ReplacedError` if the current attempt has been replaced, `ResumedError` if this one
        goes on meanwhile, and `ExchangeError` at the deadline or if the prompt is blocked.
        """
        sent.attempt.left_s()
        if self._crash_guard.block is not None:
            raise ExchangeError(BLOCKED)
        await self._stream.settle_openings(sent)
        await self._try_remedy(sent)
        await self._stream.settle_openings(sent)

    async def _try_remedy(self, sent: SentAttempt) -> None:
        """Do what `_remedy_silence` does; after an unexpected error the attempt just goes on.

        Raises `ResumedError` if it goes on before anything was done.
        """
        try:
            await self._remedy_silence(sent)
        except ResumedError:
            raise
        except Exception:
            log.exception("silence not looked into", extra={"engine": sent.entry.id})

    async def _remedy_silence(self, sent: SentAttempt) -> None:
        """Probe the engines of a silent attempt; then wait, move it or send the request again.

        The attempt goes on also after the request was sent again. Only the newest one is checked.
        """
        if not self._stream.is_newest(sent):
            return
        attempt = sent.attempt
        silence = self._measure_silence(attempt)
        decision = await attempt.unless_resumed(self._remedies.choose(attempt, silence))
        self._paths.avoid(decision.dead)
        if self._context.probes.has_ended(sent.entry):
            self._engine_runs.record_probe(sent.engine_run, responds=False)
        if decision.remedy is Remedy.WAIT:
            return
        should_move = decision.remedy is Remedy.MOVE and not self._is_restart_better(attempt)
        if should_move and await self._paths.move(attempt, decision.dead):
            return
        await self._send_replacement(sent, decision, silence)

    async def _send_replacement(
        self, sent: SentAttempt, decision: RemedyChoice, silence: Silence
    ) -> None:
        """Send the request again while a silent attempt goes on, if that is allowed.

        Raises `ResumedError` if it goes on before it is known whether that is allowed.
        """
        if not self._may_repeat():
            return
        if self._engine_runs.needs_verification:
            verifying = self._stream.verify_may_retry(can_wait=True)
            if not await sent.attempt.unless_resumed(verifying):
                return
        if not self._stream.is_newest(sent):
            return
        if decision.dead:
            self._paths.avoid([sent.entry.id])
        else:
            self._paths.avoid_silent(sent.attempt.path)
        is_first_awaited = self._stream.progress.first_event_s is None
        reason = self._stream.send(leaves_places=is_first_awaited and not decision.dead)
        self._log.replacing(
            sent.entry.id, reason or decision.reason, silence.silent_s, sent=reason is None
        )

    def _measure_silence(self, attempt: StreamAttempt) -> Silence:
        return Silence(
            now_s() - attempt.progress_s,
            self._context.silence_threshold.between_events_s,
            self._may_repeat(),
        )

    def _may_repeat(self) -> bool:
        """Return whether the request may be sent again while an attempt goes on."""
        if self._stream.has_begun and not self._stream.is_resumable:
            return False
        return self._request.route.repeatable and self._stream.may_retry()

    def _is_restart_better(self, attempt: StreamAttempt) -> bool:
        """Return whether a restart is allowed and faster than moving the attempt."""
        remaining = self._context.budgets.remaining(self._request.service)
        if remaining < MIN_RESTART_BUDGET or not self._may_repeat():
            return False
        return self._remedies.is_restart_faster(attempt)
