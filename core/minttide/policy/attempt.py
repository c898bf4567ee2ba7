"""State machine of one request on its chain: attempt, position and stage.

A reply is accepted only when its attempt, position and stage match the awaited step. All others are
dropped, so that a late, duplicate or misrouted reply never reaches a caller and never runs a layer
twice.
"""

from collections.abc import Sequence
from enum import Enum

import msgspec

from minttide.ids import AdapterName, ModelVersion, RequestId, UpstreamId
from minttide.policy.chains import Chain
from minttide.steps import Step, StepError, StepReply

RESUMED_PRIORITY = 1
"""Added to the priority of a prefill that resumes a stream, since its caller is already reading."""


class AttemptState(Enum):
    """State of a request and its current attempt."""

    IDLE = "idle"  # no attempt was started yet
    PREFILL = "prefill"
    DECODE = "decode"
    FAILED = "failed"  # the attempt failed; a new one may be started
    DONE = "done"
    CANCELLED = "cancelled"


class ReplyEffect(Enum):
    """Effect of a reply on the state of its request."""

    DROPPED = "dropped"
    NEXT_STAGE = "next-stage"
    TOKEN = "token"
    LAST_TOKEN = "last-token"
    FAILED = "failed"


class ReplyResult(msgspec.Struct, frozen=True):
    """Result of handling a reply.

    `step` is the next step to send, `reason` says why a reply was dropped.
    """

    effect: ReplyEffect
    step: Step | None = None
    token: int | None = None
    error: StepError | None = None
    reason: str = ""


_ACTIVE_STATES = (AttemptState.PREFILL, AttemptState.DECODE)
_FINAL_STATES = {AttemptState.DONE, AttemptState.CANCELLED}


class AttemptTracker:
    """Tracks one request from its first step to its last token, over any number of attempts.

    `number` is the number of the current attempt. `delivered` holds the generated tokens so far; a
    new attempt continues after the last of them.
    """

    def __init__(
        self,
        request: RequestId,
        prompt: list[int],
        max_tokens: int,
        delivered: list[int] | None = None,
        adapter: AdapterName | None = None,
        priority: int = 0,
    ):
        self.request = request
        is_complete = len(delivered or []) >= max_tokens
        self.state = AttemptState.DONE if is_complete else AttemptState.IDLE
        self.number = 0
        self.stage = 0
        self.delivered: list[int] = list(delivered or [])
        self.position = len(prompt) + len(self.delivered)  # number of tokens before the awaited one
        self.chain: Chain | None = None
        self.used_engines: set[UpstreamId] = set()
        self._prompt = prompt
        self._max_tokens = max_tokens
        self._adapter = adapter
        self._priority = priority
        self._kv_handles: tuple[str | None, ...] = ()

    @property
    def awaited_engine(self) -> UpstreamId | None:
        """Return the engine whose reply is awaited, if any."""
        if self.chain is None or self.state not in _ACTIVE_STATES:
            return None
        return self.chain.stages[self.stage].engine

    def start(self, chain: Chain, kv_handles: Sequence[str | None] = ()) -> Step:
        """Start a new attempt on `chain` after the last delivered token and return its first step.

        `kv_handles` holds, for each stage, the handle of the KV cache to import, or `None`. Raises
        `ValueError` when the request is done or cancelled, and when the model version of `chain`
        differs from that of the previous attempts.
        """
        if self.state in _FINAL_STATES:
            raise ValueError(f"request {self.request} is already {self.state.value}")
        if self.chain is not None and self.chain.version != chain.version:
            raise ValueError(f"request {self.request} is pinned to version {self.chain.version}")
        self.number += 1
        self.stage = 0
        self.chain = chain
        self.state = AttemptState.PREFILL
        self._kv_handles = tuple(kv_handles)
        return self._build_step(handle="", source=None)

    def handle_reply(self, engine: UpstreamId, reply: StepReply) -> ReplyResult:
        """Apply a reply from `engine` to the state and return the result."""
        reason = self._describe_mismatch(engine, reply)
        if reason:
            return ReplyResult(ReplyEffect.DROPPED, reason=reason)
        if reply.error is not None:
            self.state = AttemptState.FAILED
            return ReplyResult(ReplyEffect.FAILED, error=reply.error)
        assert self.chain is not None
        if self.stage + 1 < len(self.chain.stages):
            self.stage += 1
            step = self._build_step(reply.handle, engine)
            return ReplyResult(ReplyEffect.NEXT_STAGE, step)
        return self._append_token(reply)

    def fail(self) -> None:
        """Abort the current attempt; later replies to it are dropped."""
        if self.state in _ACTIVE_STATES:
            self.state = AttemptState.FAILED

    def cancel(self) -> frozenset[UpstreamId]:
        """Cancel the request and return every engine that took part in any of its attempts."""
        if self.state is not AttemptState.DONE:
            self.state = AttemptState.CANCELLED
        return frozenset(self.used_engines)

    def _describe_mismatch(self, engine: UpstreamId, reply: StepReply) -> str:
        if self._is_awaited(engine, reply):
            return ""
        if self.state not in _ACTIVE_STATES:
            return f"no reply is awaited in state {self.state.value!r}"
        awaited = (
            ("request", reply.request, self.request),
            ("attempt", reply.attempt, self.number),
            ("position", reply.position, self.position),
            ("stage", reply.stage, self.stage),
            ("engine", engine, self.awaited_engine),
        )
        wrong = [f"{name} {got}, expected {want}" for name, got, want in awaited if got != want]
        return ", ".join(wrong)

    def _is_awaited(self, engine: UpstreamId, reply: StepReply) -> bool:
        return (
            reply.position == self.position
            and reply.stage == self.stage
            and reply.attempt == self.number
            and reply.request == self.request
            and engine == self.awaited_engine
        )

    def _append_token(self, reply: StepReply) -> ReplyResult:
        if reply.token is None:
            self.state = AttemptState.FAILED
            return ReplyResult(ReplyEffect.FAILED, error=StepError.WRONG_POSITION)
        self.delivered.append(reply.token)
        self.position += 1
        if len(self.delivered) >= self._max_tokens:
            self.state = AttemptState.DONE
            return ReplyResult(ReplyEffect.LAST_TOKEN, token=reply.token)
        self.state = AttemptState.DECODE
        self.stage = 0
        return ReplyResult(ReplyEffect.TOKEN, self._build_step("", None), reply.token)

    def _step_priority(self) -> int:
        resumes = self.state is AttemptState.PREFILL and bool(self.delivered)
        return self._priority + (RESUMED_PRIORITY if resumes else 0)

    def _kv_handle(self) -> str | None:
        if self.state is AttemptState.PREFILL and self.stage < len(self._kv_handles):
            return self._kv_handles[self.stage]
        return None

    def _build_step(self, handle: str, source: UpstreamId | None) -> Step:
        assert self.chain is not None
        stage = self.chain.stages[self.stage]
        self.used_engines.add(stage.engine)
        prefill = self.state is AttemptState.PREFILL
        tokens: list[int] = []
        if self.stage == 0:
            tokens = self._prompt + self.delivered if prefill else self.delivered[-1:]
        # Positional arguments cost far less than keyword arguments, and this runs for every stage
        # and token.
        return Step(
            self.request,
            self.number,
            self.position,
            self.stage,
            self.chain.service,
            ModelVersion(self.chain.version),
            stage.first,
            stage.last,
            self.stage + 1 == len(self.chain.stages),
            prefill,
            tokens,
            handle,
            source,
            self._adapter,
            self._step_priority() if prefill else self._priority,
            self._kv_handle() if prefill else None,
        )
