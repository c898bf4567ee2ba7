"""Opens the attempts of one stream, and records what their results say of the engines."""

import asyncio
import logging

from minttide.layers.paths import Path
from minttide.policy.path_evidence import path_causes
from minttide.policy.request_attempts import RequestAttempts
from minttide.routing.outcome import ExchangeOutcome, is_own_failure
from minttide.routing.routes import UpstreamEntry
from minttided.gateway.callers.crash_guard import CrashGuard
from minttided.gateway.callers.plain import FAULTY_AVOID_S
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import now_s
from minttided.gateway.streams.attempt import StreamSendResult
from minttided.gateway.streams.context import StreamContext
from minttided.gateway.streams.engine_runs import EngineRuns
from minttided.gateway.streams.log import Progress, StreamLog
from minttided.gateway.streams.openings import SentAttempt
from minttided.gateway.streams.paths import StreamPaths
from minttided.gateway.streams.silence import BLOCKED
from minttided.http.client_connection import ExchangeError, FaultyResponseError, NotSentError

log = logging.getLogger(__name__)

LAST_PROBE_S = 0.06
"""Time after the deadline for a probe that shows whether the engine can be reached."""


class AttemptOpener:
    """Opens the attempts of one stream.

    `may_have_run` says whether an engine may have run the request, `content_type` is the media type
    of the first attempt that has begun to answer.
    """

    def __init__(
        self,
        context: StreamContext,
        request: GatewayRequest,
        progress: Progress,
        paths: StreamPaths,
        engine_runs: EngineRuns,
        crash_guard: CrashGuard,
        stream_log: StreamLog,
    ):
        self.may_have_run = False
        self.content_type = ""
        self._context = context
        self._request = request
        self._progress = progress
        self._paths = paths
        self._engine_runs = engine_runs
        self._crash_guard = crash_guard
        self._log = stream_log
        self._attempts = RequestAttempts(context.state.path_faults, request.service)

    async def open(self, sent: SentAttempt, last_event_id: int | None) -> StreamSendResult:
        """Return the result of an attempt once it has begun to answer or failed."""
        path = sent.attempt.path
        try:
            result = self._reject_other(sent, await sent.attempt.open(last_event_id))
        except NotSentError as exc:
            result = StreamSendResult(ExchangeOutcome.NOT_SENT, str(exc))
        except ExchangeError as exc:
            self.record_fault(sent.entry, exc)
            result = StreamSendResult(ExchangeOutcome.UNKNOWN, str(exc))
        except Exception as exc:  # ends this attempt, and not the stream
            log.exception("attempt failed unexpectedly")
            result = StreamSendResult(ExchangeOutcome.UNKNOWN, repr(exc))
        await self._record_result(sent, result)
        self._log.sent(
            path,
            result.outcome,
            result.reason,
            sent.number,
            self._progress.last_event_id,
            self._engine_runs.count,
        )
        if result.event is None:
            sent.attempt.close()
        return result

    def _reject_other(self, sent: SentAttempt, result: StreamSendResult) -> StreamSendResult:
        """Return a response as a failure that isn't the rest of a stream that has begun.

        That is a client error, or a body of another type than the events that the caller has. It
        can't be forwarded any more, and doesn't end the stream.
        """
        if result.outcome is not ExchangeOutcome.ANSWERED or not self._progress.events:
            return result
        if not result.status and sent.attempt.content_type == self.content_type:
            return result
        reason = f"no rest of the stream: {result.status or sent.attempt.content_type}"
        return StreamSendResult(ExchangeOutcome.FAILED, reason, status=result.status)

    async def _record_result(self, sent: SentAttempt, result: StreamSendResult) -> None:
        """Record the result of a send, and avoid an engine that caused a failure."""
        first = sent.entry.id
        if result.outcome is ExchangeOutcome.REJECTED:
            self._engine_runs.remove(sent.engine_run)
            self._paths.avoid_rejecting_engine(sent.attempt, result.status, result.fault)
            return
        if self._context.state.cfg.fault_tracking:
            self._track(sent.attempt.path, result)
        probes = self._context.probes
        if result.outcome is ExchangeOutcome.NOT_SENT:
            self._engine_runs.remove(sent.engine_run)
            self._paths.avoid([first])
            probes.check_engine(first)
            return
        if result.outcome is ExchangeOutcome.UNKNOWN:
            self._paths.avoid([first])
        self.may_have_run = True
        responds = result.event is not None or await self.responds(sent.entry, result.reason)
        self._engine_runs.record_probe(sent.engine_run, responds)
        if not responds and probes.has_ended(sent.entry):
            self._crash_guard.record_ended(sent.entry, sent.attempt.sent_s)

    def _track(self, path: Path, result: StreamSendResult) -> None:
        """Record whether a path answers or fails requests; avoid it in this stream if it fails."""
        if result.event is not None:
            self._attempts.record_answered(path_causes(path), now_s())
        elif is_own_failure(result.outcome, result.status):
            self._attempts.record_failed(path_causes(path), len(path), now_s())
            self._paths.avoid_failed(path)

    def record_fault(self, entry: UpstreamEntry, error: ExchangeError) -> None:
        """Let all streams avoid an engine whose response no sound one sends."""
        if isinstance(error, FaultyResponseError):
            self._context.avoid_engine(entry.id, FAULTY_AVOID_S, str(error))

    async def responds(self, entry: UpstreamEntry, reason: str) -> bool:
        """Return whether an engine that failed still answers; true if it can't be probed.

        A block ends the stream without a probe, and after the deadline a probe isn't repeated: the
        answer would wait.
        """
        probes = self._context.probes
        if reason == BLOCKED:
            return not probes.has_ended(entry)
        try:
            async with asyncio.timeout_at(max(now_s(), self._request.end_s) + LAST_PROBE_S):
                return await probes.responds(entry.id)
        except TimeoutError:
            return not probes.has_ended(entry)
        except Exception:
            log.exception("probe failed unexpectedly", extra={"engine": entry.id})
            return True
