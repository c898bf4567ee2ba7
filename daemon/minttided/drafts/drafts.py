"""Drafts: admitted, sent through a chain of engines, and streamed or returned whole."""

import asyncio
import logging
import random
from itertools import count
from types import TracebackType
from typing import Self

import msgspec

from minttide.config.service import Account, ModelService
from minttide.ids import RequestId
from minttide.outcome import ProblemType, RequestError
from minttide.policy.attempt import Attempt
from minttide.policy.chains import Chain, ChainDecision, choose_chain
from minttide.policy.limits import Ticket, latest_start_s
from minttide.prefix import prefix_digests
from minttided.callers.accounts import check_allowed
from minttided.drafts.admission import Admission, Slot
from minttided.drafts.draft_request import DraftRequest, parse_draft
from minttided.drafts.draft_run import DraftRun
from minttided.drafts.recoveries import Recoveries
from minttided.drafts.sse import Opened, end_event, open_event, problem_event, token_event
from minttided.drafts.tokens import TextDecoder, decode_text
from minttided.engines.capacity import ChainCapacity
from minttided.engines.engine_monitor import EngineMonitor
from minttided.http.messages import HttpRequest, HttpResponse, StreamResponse
from minttided.http.problems import refusal
from minttided.node import Node

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
NO_CHAIN_RETRY_S = 1.0
CHOICE_STANDS_S = 0.01
"""A request that waited longer than this for a place chooses its chain anew."""

SSE_HEADERS = [("cache-control", "no-store")]


class WholeDraft(msgspec.Struct):
    """The answer of a draft that wasn't asked for as a stream."""

    text: str
    tokens: list[int]
    version: str
    resume: str
    ran: str = "done"


class Drafts:
    """The drafts that run on this host."""

    def __init__(self, node: Node, monitor: EngineMonitor):
        self.admission = Admission(node, ChainCapacity(node, monitor))
        self._node = node
        self._monitor = monitor
        self._recoveries = Recoveries(monitor)
        self._rng = random.Random(f"{node.cfg.host}/{node.incarnation}")
        self._numbers = count(1)
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
        await self._recoveries.__aexit__(kind, exc, trace)
        await self.admission.__aexit__(kind, exc, trace)

    async def handle(
        self, req: HttpRequest, account: Account, file: ModelService
    ) -> HttpResponse | StreamResponse:
        """Answer one draft request; raises `RequestError` when it is refused."""
        check_allowed(account, file)
        self.admission.check_rate(account)
        draft = parse_draft(req.body, file, account, self._secret)
        run, slot, resume = await self._start(draft)
        if draft.stream:
            return StreamResponse(DraftStream(run, slot, draft, resume), headers=SSE_HEADERS)
        return await _answer_whole(run, slot, draft, resume)

    async def _start(self, draft: DraftRequest) -> tuple[DraftRun, Slot, Opened]:
        loop = asyncio.get_running_loop()
        began = loop.time()
        deadline = began + draft.deadline_s
        request = self._new_id()
        chain = self._choose(draft, request)
        slot = await self._enter(draft, request, chain, deadline)
        try:
            if loop.time() - began > CHOICE_STANDS_S:
                chain = self._choose(draft, request)
            run = self._make_run(draft, request)
        except RequestError:
            slot.release()
            raise
        run.set_deadline(deadline)
        if draft.resumed is not None:
            self._monitor.drop_request(draft.resumed.request, draft.resumed.engines)
        if run.running:
            run.start(chain)
        resume = draft.sign_resume(chain, request, self._secret)
        return run, slot, Opened(resume, chain.version)

    async def _enter(
        self, draft: DraftRequest, request: RequestId, chain: Chain, deadline: float
    ) -> Slot:
        """Wait for a place; raises `RequestError` at once when the deadline can't be met."""
        account = draft.account
        cost = float(draft.max_tokens - len(draft.delivered))
        latest_s = self._latest_start_s(draft, chain, deadline)
        ticket = Ticket(request, account.name, cost, latest_s, account.priority)
        return await self.admission.acquire(draft.service, account, ticket)

    def _latest_start_s(self, draft: DraftRequest, chain: Chain, deadline: float) -> float:
        """Return the latest start, in loop time, that still meets what the request asks for.

        A resumed draft has its first token, and a prompt that takes longer than the service allows
        for it would never be in time, so that only the deadline counts for these.
        """
        estimator = self._monitor.topology.estimator
        assert estimator is not None
        tokens = len(draft.prompt) + len(draft.delivered)
        estimate = estimator.estimate(chain, tokens, self._monitor.news(draft.service))
        work_s = estimate.first_token_ms / MS_PER_S
        answer_s = estimate.cost_ms(draft.max_tokens - len(draft.delivered)) / MS_PER_S
        first_token_s = draft.file.first_token_ms / MS_PER_S
        if draft.delivered or work_s >= first_token_s:
            return deadline - answer_s
        now_s = asyncio.get_running_loop().time()
        return latest_start_s(now_s, deadline, first_token_s, work_s, answer_s)

    def _make_run(self, draft: DraftRequest, request: RequestId) -> DraftRun:
        priority = draft.account.priority
        attempt = Attempt(
            request, draft.prompt, draft.max_tokens, draft.delivered, draft.adapter, priority
        )
        return DraftRun(attempt, priority, self._monitor, self._recoveries)

    def _new_id(self) -> RequestId:
        return RequestId(f"{self._node.cfg.host}/{self._node.incarnation}/{next(self._numbers)}")

    # Choice of a chain.

    def _choose(self, draft: DraftRequest, request: RequestId) -> Chain:
        """Choose the chain of a new request; raises `RequestError` when there is none."""
        usable = self._usable(draft)
        estimator = self._monitor.topology.estimator
        if not usable or estimator is None:
            raise self._no_chain(draft)
        tokens = draft.prompt + draft.delivered
        names = prefix_digests(draft.service, usable[0].version, draft.adapter, tokens)
        decision = choose_chain(
            usable,
            estimator,
            self._monitor.news(draft.service, names),
            len(tokens),
            draft.max_tokens - len(draft.delivered),
            self._rng,
        )
        _log_choice(draft, request, decision)
        self._monitor.metrics.count_decision("chain")
        if decision.chain is None:
            raise self._no_chain(draft)
        return decision.chain

    def _usable(self, draft: DraftRequest) -> list[Chain]:
        """Return the chains that could take a new request, those of the wanted version first."""
        avoid = self._monitor.avoid()
        for everywhere in (False, True):
            chains = self._monitor.chains(draft.service, everywhere)
            usable = [c for c in chains if avoid.isdisjoint(c.engines)]
            wanted = draft.version or draft.file.version
            exact = [c for c in usable if c.version == wanted]
            # While a version is brought in, new drafts go on with the one that is still loaded.
            if exact or (usable and draft.version is None):
                return exact or usable
        return []

    def _no_chain(self, draft: DraftRequest) -> RequestError:
        chains = self._monitor.chains(draft.service, everywhere=True)
        gone = chains and all(c.version != draft.version for c in chains)
        if draft.version is not None and gone:
            detail = f"version {draft.version} is no longer served; start the draft again"
            return refusal(ProblemType.NO_CHAIN, detail)
        detail = "no chain of engines can take the request now"
        return refusal(ProblemType.NO_CHAIN, detail, NO_CHAIN_RETRY_S)


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
    run: DraftRun, slot: Slot, draft: DraftRequest, opened: Opened
) -> HttpResponse:
    """Wait for the whole answer; raises `RequestError` when the draft is given up."""
    try:
        while await run.next_tokens():
            pass
    finally:
        _end_run(run, slot, draft)
    tokens = run.attempt.delivered
    whole = WholeDraft(decode_text(tokens), tokens, opened.version, opened.resume)
    return HttpResponse(200, msgspec.json.encode(whole))


class DraftStream:
    """The events of one draft. Closing it cancels the draft if it still runs."""

    def __init__(self, run: DraftRun, slot: Slot, draft: DraftRequest, opened: Opened):
        self._run = run
        self._slot = slot
        self._draft = draft
        self._opened: Opened | None = opened
        self._sent = len(draft.delivered)
        self._text = TextDecoder(draft.delivered)
        self._ended = False

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        """Return the next events, those that came together in one piece."""
        if self._opened is not None:
            opened, self._opened = self._opened, None
            return open_event(opened)
        if self._ended:
            raise StopAsyncIteration
        try:
            tokens = await self._run.next_tokens()
        except RequestError as exc:
            self._ended = True
            return problem_event(exc.problem)
        if not tokens:
            self._ended = True
            return end_event(self._sent)
        return b"".join([self._encode(token) for token in tokens])

    def _encode(self, token: int) -> bytes:
        self._sent += 1
        return token_event(self._sent, token, self._text.add(token))

    async def aclose(self) -> None:
        """Cancel the draft if it still runs, and free its place."""
        _end_run(self._run, self._slot, self._draft)
