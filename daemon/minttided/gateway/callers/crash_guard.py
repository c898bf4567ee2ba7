"""Keeps a request from upstreams that it would crash, and reports those that it may have."""

import logging
from functools import cached_property

from minttide.ids import PromptPart
from minttide.policy.crash_reports import CrashReport, PartBlock
from minttide.policy.request_fingerprint import (
    fingerprint_of,
    is_request_part,
    make_request_part,
)
from minttide.problems import ProblemType, RequestError
from minttide.routing.routes import UpstreamEntry
from minttided.gateway.callers.errors import not_run_error
from minttided.gateway.callers.request import GatewayRequest, parse_prompt_parts
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)

MAX_ENDED_ENGINES = 2
"""Upstreams that may end while one request waits on them, before it is given up.

A second one, since most requests that wait on an upstream that crashes have not crashed it.
"""

RETRY_AFTER_S = 60.0
"""Retry-After of requests that are rejected because of their prompt or as a whole."""


class CrashGuard:
    """The parts of one request, until it has begun to answer.

    These are the whole request and, with `has_prompt`, the parts of its prompt that others share.
    """

    def __init__(self, state: GatewayState, request: GatewayRequest, has_prompt: bool = True):
        self._state = state
        self._request = request
        self._has_prompt = has_prompt
        self._shared_parts: tuple[PromptPart, ...] = ()
        if has_prompt:
            self._shared_parts = parse_prompt_parts(request.req, state.headers)[:-1]
        self._started = False
        self._on_trial = False
        self._ended_engines = 0
        block = self.block
        self._on_trial = block is not None and state.prompt_crashes.take_trial(block, now_s())
        if self._on_trial:
            event = "blocked prompt on trial" if has_prompt else "blocked request on trial"
            log.info(event, extra={"request": request.attempt_id})

    @cached_property
    def _request_part(self) -> PromptPart:
        """The part for the whole request; it is computed only when crashes are known."""
        req, account = self._request.req, self._request.account
        name = account.account if account is not None else None
        return make_request_part(req.method, req.target, name, req.body)

    @property
    def _parts(self) -> tuple[PromptPart, ...]:
        return (*self._shared_parts, self._request_part)

    @property
    def block(self) -> PartBlock | None:
        """Return the block that applies to the request, if any."""
        crashes, service = self._state.prompt_crashes, self._request.service
        if self._started or self._on_trial or not crashes.concerns(service):
            return None
        return crashes.find_block(service, self._parts)

    @property
    def allows_send(self) -> bool:
        """Return whether the request may be sent to another upstream."""
        max_ended = 1 if self._on_trial else MAX_ENDED_ENGINES
        return self._ended_engines < max_ended and self.block is None

    def rejection(self) -> RequestError | None:
        """Return the error of a request that is blocked and has not run, if it is blocked."""
        block = self.block
        if block is None:
            return None
        if any(is_request_part(part) for part in block.parts):
            detail = f"upstreams crash on this request, {fingerprint_of(self._request_part)}"
            return not_run_error(ProblemType.REQUEST_BLOCKED, detail, RETRY_AFTER_S)
        detail = f"engines crash on prompts with {' and '.join(block.parts)}"
        return not_run_error(ProblemType.PROMPT_BLOCKED, detail, RETRY_AFTER_S)

    def record_start(self) -> None:
        """Record that the request has begun to answer, so that no part of it crashes upstreams."""
        self._started = True
        crashes, service = self._state.prompt_crashes, self._request.service
        parts = self._parts if crashes.concerns(service) else self._shared_parts
        crashes.record_start(service, parts, now_s())

    def record_ended(self, entry: UpstreamEntry, sent_s: float) -> None:
        """Report that the process of `entry` ended while the request, sent at `sent_s`, waited.

        A process that is listed as leaving has been ended by plan, and not by a request.
        """
        if self._started or self._is_leaving(entry):
            return
        self._ended_engines += 1
        self._log_ended(entry, sent_s)
        report = CrashReport(
            self._request.service,
            entry.id,
            entry.born_ms,
            fingerprint_of(self._request_part),
            self._parts,
            sent_s,
            now_s(),
            self._state.cfg.host,
        )
        self._state.report_crash(entry, report)

    def _is_leaving(self, entry: UpstreamEntry) -> bool:
        listed = self._state.upstreams.get(entry.id, entry)
        return listed.leaving

    def _log_ended(self, entry: UpstreamEntry, sent_s: float) -> None:
        awaited = "the first event" if self._has_prompt else "its answer"
        log.warning(
            f"engine ended before {awaited}",
            extra={
                "request": self._request.attempt_id,
                "engine": entry.id,
                "born_ms": entry.born_ms,
                "fingerprint": fingerprint_of(self._request_part),
                "parts": self._shared_parts,
                "waited_s": now_s() - sent_s,
            },
        )
