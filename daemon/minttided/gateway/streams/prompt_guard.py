"""Keeps a request from engines that its prompt would crash, and reports those that it may have."""

import logging

from minttide.policy.crash_reports import CrashReport, PartBlock
from minttide.problems import ProblemType, RequestError
from minttide.routing.routes import UpstreamEntry
from minttided.gateway.callers.errors import not_run_error
from minttided.gateway.callers.request import (
    MAX_ID_LENGTH,
    GatewayRequest,
    parse_prompt_parts,
)
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)

MAX_ENDED_ENGINES = 2
"""Engines that may end while one request waits for its first event, before it is given up.

A second one, since most requests that wait on an engine that crashes have not crashed it.
"""

RETRY_AFTER_S = 60.0
"""Retry-After of requests that are rejected because of their prompt."""


class PromptGuard:
    """The parts of one request's prompt, until the request has begun to answer."""

    def __init__(self, state: GatewayState, request: GatewayRequest):
        self._state = state
        self._request = request
        self._shared_parts = parse_prompt_parts(request.req, state.headers)[:-1]
        self._started = False
        self._on_trial = False
        self._ended_engines = 0
        block = self.block
        self._on_trial = block is not None and state.prompt_crashes.take_trial(block, now_s())
        if self._on_trial:
            log.info("blocked prompt on trial", extra={"request": request.attempt_id})

    @property
    def block(self) -> PartBlock | None:
        """Return the block that applies to the request, if any."""
        if self._started or self._on_trial or not self._shared_parts:
            return None
        return self._state.prompt_crashes.find_block(self._request.service, self._shared_parts)

    @property
    def allows_send(self) -> bool:
        """Return whether the request may be sent to another engine."""
        max_ended = 1 if self._on_trial else MAX_ENDED_ENGINES
        return self._ended_engines < max_ended and self.block is None

    def rejection(self) -> RequestError | None:
        """Return the error of a request that is blocked and has not run, if it is blocked."""
        block = self.block
        if block is None:
            return None
        detail = f"engines crash on prompts with {' and '.join(block.parts)}"
        return not_run_error(ProblemType.PROMPT_BLOCKED, detail, RETRY_AFTER_S)

    def record_start(self) -> None:
        """Record that the request has begun to answer, so that no part of it crashes engines."""
        self._started = True
        self._state.prompt_crashes.record_start(self._request.service, self._shared_parts, now_s())

    def record_ended(self, entry: UpstreamEntry, sent_s: float) -> None:
        """Report that the process of `entry` ended while the request, sent at `sent_s`, waited."""
        if self._started:
            return
        self._ended_engines += 1
        log.warning(
            "engine ended before the first event",
            extra={
                "request": self._request.attempt_id,
                "engine": entry.id,
                "born_ms": entry.born_ms,
                "parts": self._shared_parts,
                "waited_s": now_s() - sent_s,
            },
        )
        if not self._shared_parts:
            return
        report = CrashReport(
            self._request.service,
            entry.id,
            entry.born_ms,
            self._request.attempt_id[:MAX_ID_LENGTH],
            self._shared_parts,
            sent_s,
            now_s(),
        )
        self._state.prompt_crashes.add([report], own=True)
