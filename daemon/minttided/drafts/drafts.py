"""Handling of draft requests: admission, choice of a chain, and the streamed or whole answer."""

import asyncio
import logging
import random
from itertools import count
from types import TracebackType
from typing import Self

import msgspec

from minttide.config.service import Account, ModelService
from minttide.ids import RequestId
from minttide.policy.attempt import AttemptTracker
from minttide.policy.chains import Chain, ChainDecision, choose_chain
from minttide.policy.limits import Ticket, latest_start_s
from minttide.prefix import prefix_digests
from minttide.problems import ProblemType, RequestError
from minttided.callers.accounts import check_allowed
from minttided.drafts.admission import Admission, Slot
from minttided.drafts.draft_request import DraftRequest, parse_draft
from minttided.drafts.draft_run import DraftRun
from minttided.drafts.recovery_scheduler import RecoveryScheduler
from minttided.drafts.sse import (
    OpenEvent,
    encode_end,
    encode_open,
    encode_problem_event,
    encode_token,
)
from minttided.drafts.tokens import TextDecoder, decode_text
from minttided.engines.capacity import ChainCapacity
from minttided.engines.engine_monitor import EngineMonitor
from minttided.http.messages import HttpRequest, HttpResponse, StreamResponse
from minttided.http.problems import rejection_error
from minttided.node import Node

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
NO_CHAIN_RETRY_AFTER_S = 1.0
CHAIN_CHOICE_MAX_AGE_S = 0.01
"""If a request waits longer than this for a slot, its chain is chosen again."""

SSE_HEADERS = [("cache-control", "no-store")]


class DraftAnswer(msgspec.Struct):
    """The JSON answer to a draft request without streaming."""

    text: str
    tokens: list[int]
    version: str
    resume: str
    ran: str = "done"


class Drafts:
    """Handles the draft requests of this host."""

    def __init__(self, node: Node, monitor: EngineMonitor):
        self.admission = Admission(node, ChainCapacity(node, monitor))
        self._node = node
        self._monitor = monitor
        self._recovery = RecoveryScheduler(monitor)
        self._rng = random.Random(f"{node.cfg.host}/{node.incarnation}")
        self._request_numbers = count(1)
        self._secret = node.cfg.resume_secret

    async def __aenter__(self) -> Self:
        await self.admission.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._recovery.__aexit__(kind, exc, trace)
        await self.admission.__aexit__(kind, exc, trace)

    async def handle(
        self, req: HttpRequest, account: Account, model_service: ModelService
    ) -> HttpResponse | StreamResponse:
        """Answer one draft request; raises `RequestError` if it is rejected or fails."""
        check_allowed(account, model_service)
        self.admission.check_rate(account)
        draft = parse_draft(req.body, model_service, account, self._secret)
        run, slot, open_event = await self._start(draft)
        if draft.stream:
            return StreamResponse(DraftStream(run, slot, draft, open_event), headers=SSE_HEADERS)
        return await _answer_whole(run, slot, draft, open_event)

    async def _start(self, draft: DraftRequest) -> tuple[DraftRun, Slot, OpenEvent]:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        deadline_s = started_s + draft.timeout_s
        request = self._new_request_id()
        chain = self._choose_chain(draft, request)
        slot = await self._acquire_slot(draft, request, chain, deadline_s)
        try:
            if loop.time() - started_s > CHAIN_CHOICE_MAX_AGE_S:
                chain = self._choose_chain(draft, request)
            run = self._make_run(draft, request)
        except RequestError:
            slot.release()
            raise
        run.set_deadline(deadline_s)
        if draft.resumed is not None:
            self._monitor.drop_request(draft.resumed.request, draft.resumed.engines)
        if run.running:
            run.start(chain)
        resume = draft.make_resume_token(chain, request, self._secret)
        return run, slot, OpenEvent(resume, chain.version)

    async def _acquire_slot(
        self, draft: DraftRequest, request: RequestId, chain: Chain, deadline_s: float
    ) -> Slot:
        """Wait for a slot; raises `RequestError` immediately if the deadline can't be met."""
        account = draft.account
        cost = float(draft.max_tokens - len(draft.delivered))
        start_by_s = self._latest_start_s(draft, chain, deadline_s)
        ticket = Ticket(request, account.name, cost, start_by_s, account.priority)
        return await self.admission.acquire(draft.service, account, ticket)

    def _latest_start_s(self, draft: DraftRequest, chain: Chain, deadline_s: float) -> float:
        """Return the latest start in loop time that meets the deadline and first-token target.

        Only the deadline applies to a resumed draft, which already has its first token, and to a
        prompt whose prefill alone takes longer than the first-token target.
        """
        estimator = self._monitor.topology.estimator
        assert estimator is not None
        tokens = len(draft.prompt) + len(draft.delivered)
        estimate = estimator.estimate(chain, tokens, self._monitor.current_load(draft.service))
        expected_first_token_s = estimate.first_token_ms / MS_PER_S
        answer_s = estimate.completion_ms(draft.max_tokens - len(draft.delivered)) / MS_PER_S
        max_first_token_s = draft.model_service.first_token_ms / MS_PER_S
        if draft.delivered or expected_first_token_s >= max_first_token_s:
            return deadline_s - answer_s
        now_s = asyncio.get_running_loop().time()
        return latest_start_s(
            now_s, deadline_s, max_first_token_s, expected_first_token_s, answer_s
        )

    def _make_run(self, draft: DraftRequest, request: RequestId) -> DraftRun:
        priority = draft.account.priority
        attempt = AttemptTracker(
            request, draft.prompt, draft.max_tokens, draft.delivered, draft.adapter, priority
        )
        return DraftRun(attempt, priority, self._monitor, self._recovery)

    def _new_request_id(self) -> RequestId:
        return RequestId(
            f"{self._node.cfg.host}/{self._node.incarnation}/{next(self._request_numbers)}"
        )

    # Chain selection.

    def _choose_chain(self, draft: DraftRequest, request: RequestId) -> Chain:
        """Choose the chain for a request; raises `RequestError` if none is usable."""
        usable = self._usable_chains(draft)
        estimator = self._monitor.topology.estimator
        if not usable or estimator is None:
            raise self._no_chain_error(draft)
        tokens = draft.prompt + draft.delivered
        prefixes = prefix_digests(draft.service, usable[0].version, draft.adapter, tokens)
        decision = choose_chain(
            usable,
            estimator,
            self._monitor.current_load(draft.service, prefixes),
            len(tokens),
            draft.max_tokens - len(draft.delivered),
            self._rng,
        )
        _log_choice(draft, request, decision)
        self._monitor.metrics.count_decision("chain")
        if decision.chain is None:
            raise self._no_chain_error(draft)
        return decision.chain

    def _usable_chains(self, draft: DraftRequest) -> list[Chain]:
        """Return usable chains of the wanted version; for a new draft, else those of any version.

        Chains outside of this host's subset are used only if no other chain qualifies.
        """
        excluded_engines = self._monitor.excluded_engines()
        for whole_domain in (False, True):
            chains = self._monitor.chains(draft.service, whole_domain)
            usable = [c for c in chains if excluded_engines.isdisjoint(c.engines)]
            wanted_version = draft.version or draft.model_service.version
            matching = [c for c in usable if c.version == wanted_version]
            # During the rollout of a version, new drafts run on the one that is still loaded.
            if matching or (usable and draft.version is None):
                return matching or usable
        return []

    def _no_chain_error(self, draft: DraftRequest) -> RequestError:
        chains = self._monitor.chains(draft.service, whole_domain=True)
        version_retired = chains and all(c.version != draft.version for c in chains)
        if draft.version is not None and version_retired:
            detail = f"version {draft.version} is no longer served; start the draft again"
            return rejection_error(ProblemType.NO_CHAIN, detail)
        detail = "no chain of engines can take the request now"
        return rejection_error(ProblemType.NO_CHAIN, detail, NO_CHAIN_RETRY_AFTER_S)


def _log_choice(draft: DraftRequest, request: RequestId, decision: ChainDecision) -> None:
    candidates = [f"{e.chain}:{e.first_token_ms:.0f}ms" for e in decision.candidates]
    extra = {
        "request": request,
        "account": draft.account.name,
        "service": draft.service,
        "chosen": decision.chain.id if decision.chain else "none",
        "candidates": ",".join(candidates),
        "reason": decision.reason,
    }
    log.info("chain chosen", extra=extra)


def _end_run(run: DraftRun, slot: Slot, draft: DraftRequest) -> None:
    run.close()
    slot.release(len(run.attempt.delivered) - len(draft.delivered))


async def _answer_whole(
    run: DraftRun, slot: Slot, draft: DraftRequest, open_event: OpenEvent
) -> HttpResponse:
    """Wait for the whole answer; raises `RequestError` if the draft is given up."""
    try:
        while await run.next_tokens():
            pass
    finally:
        _end_run(run, slot, draft)
    tokens = run.attempt.delivered
    draft_answer = DraftAnswer(decode_text(tokens), tokens, open_event.version, open_event.resume)
    return HttpResponse(200, msgspec.json.encode(draft_answer))


class DraftStream:
    """An iterator of a draft's events. Closing it cancels the draft if it is still running."""

    def __init__(self, run: DraftRun, slot: Slot, draft: DraftRequest, open_event: OpenEvent):
        self._run = run
        self._slot = slot
        self._draft = draft
        self._open_event: OpenEvent | None = open_event
        self._sent_tokens = len(draft.delivered)
        self._text_decoder = TextDecoder(draft.delivered)
        self._ended = False

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        """Return the next events, encoded, with all tokens that have arrived."""
        if self._open_event is not None:
            open_event, self._open_event = self._open_event, None
            return encode_open(open_event)
        if self._ended:
            raise StopAsyncIteration
        try:
            tokens = await self._run.next_tokens()
        except RequestError as exc:
            self._ended = True
            return encode_problem_event(exc.problem)
        if not tokens:
            self._ended = True
            return encode_end(self._sent_tokens)
        return b"".join([self._encode(token) for token in tokens])

    def _encode(self, token: int) -> bytes:
        self._sent_tokens += 1
        return encode_token(self._sent_tokens, token, self._text_decoder.add(token))

    async def aclose(self) -> None:
        """Cancel the draft if it is still running, and free its slot."""
        _end_run(self._run, self._slot, self._draft)
