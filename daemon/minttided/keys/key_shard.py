"""One key shard on one host: claims a key in the log, dispatches its call, records the answer.

A call is dispatched only by the attempt that wrote its claim, after the log itself was read up to
that claim and the fold names it as the key's holder. An attempt that gives up before it dispatches
will never dispatch; its claim is withdrawn, also when it turns up in the log only later.
"""

import asyncio
import itertools
import logging
from collections.abc import Sequence
from contextlib import AsyncExitStack

from minttide.agree.fold import Decision, Verdict
from minttide.agree.keys import KeyEntry, KeyFold, KeyStatus, key_name
from minttide.ids import ClaimId, RequestId, key_stream
from minttide.interfaces import LogUnavailableError, LogUncertainError, UpstreamReply
from minttide.outcome import ProblemType, Ran, RequestError
from minttide.records import Answer, Claim, KeyChange, Withdrawal
from minttided.drafts.streams import Follow
from minttided.keys import key_problems as problems
from minttided.keys.key_batch import BatchFullError, KeyBatcher
from minttided.keys.keyed_request import KeyedRequest
from minttided.node import Node

log = logging.getLogger(__name__)

CLAIM_TRIES = 4
"""How often a request claims a key that others keep claiming and withdrawing."""

KEY_APPENDS_PER_S = 100.0
"""Appends a second to all key streams together, if one host owns each shard."""

OUTCOME_WAIT_S = 2.0
"""Longest wait for the answer of a call that another host has claimed, in seconds."""

MAX_ANSWER_BYTES = 32 * 1024
"""Largest body of an answer that is kept with its key."""

RECORD_TRY_S = 0.5
"""Wait between tries to record an answer or a withdrawal, in seconds."""

RECORD_LIMIT_S = 60.0
"""How long recording an answer or a withdrawal is tried, in seconds."""

CLOSE_LIMIT_S = 5.0
"""How long a closing shard waits for calls and records in progress, in seconds."""


class KeyShard:
    """One shard, followed and written by this host. Use as an async context manager."""

    def __init__(self, node: Node, shard: int, follow: Follow):
        self._node = node
        self._shard = shard
        self._follow = follow
        self._fold = KeyFold()
        self._stack = AsyncExitStack()
        self._sequence = itertools.count(1)
        self._claims: set[ClaimId] = set()  # of attempts that may still dispatch or have done so
        self._running: dict[str, asyncio.Task[UpstreamReply]] = {}
        self._records: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self.last_used = 0.0

    @property
    def fold(self) -> KeyFold:
        """Return the fold of the shard's stream."""
        return self._fold

    @property
    def busy(self) -> bool:
        """Return whether calls or records are in progress."""
        return bool(self._running or self._records)

    @property
    def appends(self) -> int:
        """Return how many records this host has appended to the shard's stream."""
        return self._batcher.appends

    async def __aenter__(self) -> "KeyShard":
        stream = key_stream(self._shard)
        follower = self._follow(stream, self._fold, self._note_verdicts)
        self._follower = await self._stack.enter_async_context(follower)
        self._batcher = await self._stack.enter_async_context(
            KeyBatcher(
                self._follower.append,
                self._node.cfg.host,
                self._node.incarnation,
                self._node.wall_ms,
                self._append_interval_s(),
            )
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for limit_s in (CLOSE_LIMIT_S, CLOSE_LIMIT_S):
            tasks = [*self._running.values(), *self._records]
            if tasks:
                await asyncio.wait(tasks, timeout=limit_s)
        left = [*self._running.values(), *self._records]
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        await self._stack.aclose()

    def _append_interval_s(self) -> float:
        site = self._node.config.site
        return site.key_shards / KEY_APPENDS_PER_S if site else 0.0

    async def run(self, req: KeyedRequest) -> UpstreamReply:
        """Run the call of `req` at most once over all hosts, or return its recorded answer.

        Requests of one key on this host share one attempt. Raises `RequestError`.
        """
        name = key_name(req.scope, req.key) + "\n" + req.digest
        task = self._running.get(name)
        if task is None:
            task = asyncio.create_task(self._attempt(req))
            self._running[name] = task
            task.add_done_callback(lambda done: self._finish(name, done))
        # The attempt goes on when the caller has gone, so that its outcome is recorded.
        done, _ = await asyncio.wait({task}, timeout=self._left_s(req) + problems.GRACE_S)
        if not done:
            raise problems.outcome_unknown("the call was still in progress at the deadline")
        return task.result()

    def _finish(self, name: str, task: asyncio.Task[UpstreamReply]) -> None:
        self._running.pop(name, None)
        if not task.cancelled():
            task.exception()  # marks it as seen when no caller is left

    def _left_s(self, req: KeyedRequest) -> float:
        return max(0.0, req.deadline - asyncio.get_running_loop().time())

    async def _attempt(self, req: KeyedRequest) -> UpstreamReply:
        await self._wait_ready(req)
        for _ in range(CLAIM_TRIES):
            entry = self._fold.find(req.scope, req.key)
            if entry is not None and entry.status is not KeyStatus.FREE:
                return await self._settle(req, entry)
            claim = self._new_claim(req)
            self._claims.add(claim.claim_id)
            try:
                if await self._claim(req, claim):
                    return await self._dispatch(req, claim)
            finally:
                self._claims.discard(claim.claim_id)
        raise problems.key_in_use()

    async def _wait_ready(self, req: KeyedRequest) -> None:
        limit_s = min(self._left_s(req), problems.READY_WAIT_S)
        try:
            async with asyncio.timeout(limit_s):
                await self._follower.wait_synced()
        except (TimeoutError, LogUnavailableError) as exc:
            raise problems.log_out("the key stream could not be read") from exc
        if self._fold.stopped_at is not None:
            raise problems.log_out("the key stream holds records of a newer format")
        if req.is_older_than_memory(self._fold.now_ms):
            raise problems.key_too_old()

    # Claims.

    def _new_claim(self, req: KeyedRequest) -> Claim:
        node = self._node
        number = next(self._sequence)
        claim_id = ClaimId(f"{node.cfg.host}/{node.incarnation}/{self._shard}.{number}")
        seen = self._fold.changed(req.scope, req.key)
        return Claim(claim_id, req.scope, req.key, req.digest, seen, req.remember_ms)

    async def _claim(self, req: KeyedRequest, claim: Claim) -> bool:
        """Append `claim`, read the log up to it and return whether it holds the key."""
        try:
            async with asyncio.timeout(self._left_s(req)):
                offset = await self._batcher.submit(claim)
                await self._follower.wait_applied(offset)
        except TimeoutError as exc:
            self._record(_withdraw(claim))
            raise problems.deadline("the claim of the key was not settled in time") from exc
        except LogUncertainError as exc:
            self._record(_withdraw(claim))
            raise problems.log_out("an append to the key stream had no answer") from exc
        except LogUnavailableError as exc:
            raise problems.log_out("the platform log is not available") from exc
        except BatchFullError as exc:
            raise problems.overloaded() from exc
        entry = self._fold.find(req.scope, req.key)
        if self._fold.stopped_at is not None:
            self._record(_withdraw(claim))
            raise problems.log_out("the key stream holds records of a newer format")
        own = entry is not None and entry.claim_id == claim.claim_id
        return own and entry is not None and entry.status is KeyStatus.CLAIMED

    async def _dispatch(self, req: KeyedRequest, claim: Claim) -> UpstreamReply:
        if self._left_s(req) <= 0.0:
            self._record(_withdraw(claim))
            raise problems.deadline("the deadline passed before the call was sent")
        dispatcher = self._node.dispatcher
        if dispatcher is None:
            self._record(_withdraw(claim))
            raise problems.log_out("this host is not ready")
        request = RequestId(claim.claim_id)
        try:
            reply = await dispatcher.dispatch(request, req.service, req.call, req.deadline)
        except RequestError as exc:
            if exc.problem.ran is Ran.NOT_RUN:
                self._record(_withdraw(claim))
            raise
        kept = reply.body if len(reply.body) <= MAX_ANSWER_BYTES else None
        self._record(
            Answer(claim.claim_id, claim.scope, claim.key, reply.status, reply.content_type, kept)
        )
        return reply

    # Keys that are taken.

    async def _settle(self, req: KeyedRequest, entry: KeyEntry) -> UpstreamReply:
        """Return the recorded answer, waiting a while for a call in progress elsewhere."""
        if entry.digest != req.digest:
            raise problems.key_mismatch()
        loop = asyncio.get_running_loop()
        until = min(req.deadline, loop.time() + OUTCOME_WAIT_S)
        while entry.status is KeyStatus.CLAIMED:
            if not self._may_answer(entry) or not await self._wait_change(until - loop.time()):
                raise problems.outcome_unknown("the call was sent and its answer is not known")
            now = self._fold.find(req.scope, req.key)
            if now is None or now.status is KeyStatus.FREE:
                raise problems.key_in_use()
            entry = now
        assert entry.answer is not None
        if entry.answer.body is None:
            raise problems.answer_not_kept(entry.answer.status)
        return UpstreamReply(entry.answer.status, entry.answer.content_type, entry.answer.body)

    def _may_answer(self, entry: KeyEntry) -> bool:
        if (entry.host, entry.incarnation) == (self._node.cfg.host, self._node.incarnation):
            return entry.claim_id in self._claims or bool(self._records)
        members = self._node.members.hosts() if self._node.members else ()
        return any(
            (m.host, m.incarnation) == (entry.host, entry.incarnation) and not m.suspect
            for m in members
        )

    async def _wait_change(self, limit_s: float) -> bool:
        if limit_s <= 0:
            return False
        try:
            async with asyncio.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    # Verdicts and records.

    def _note_verdicts(self, verdicts: Sequence[Verdict]) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        own = (self._node.cfg.host, self._node.incarnation)
        for verdict in verdicts:
            if verdict.decision is not Decision.ACCEPTED or not isinstance(verdict.body, Claim):
                continue
            if (verdict.host, verdict.incarnation) == own:
                self._withdraw_if_abandoned(verdict.body)

    def _withdraw_if_abandoned(self, claim: Claim) -> None:
        if claim.claim_id not in self._claims:
            log.info("claim given up before withdrawn", extra={"claim": claim.claim_id})
            self._record(_withdraw(claim))

    def _record(self, change: KeyChange) -> None:
        task = asyncio.create_task(self._record_until_settled(change))
        self._records.add(task)
        task.add_done_callback(self._records.discard)

    async def _record_until_settled(self, change: KeyChange) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + RECORD_LIMIT_S
        while loop.time() < until:
            try:
                await self._follower.wait_applied(await self._batcher.submit(change))
                return
            except (LogUnavailableError, LogUncertainError, BatchFullError):
                await asyncio.sleep(RECORD_TRY_S)
        log.warning(
            "change of a key not recorded",
            extra={"claim": change.claim_id, "change": type(change).__name__},
        )


def _withdraw(claim: Claim) -> Withdrawal:
    return Withdrawal(claim.claim_id, claim.scope, claim.key)


def is_log_out(exc: RequestError) -> bool:
    """Return whether a request was refused only because the platform log is out."""
    problem = exc.problem
    return problem.type is ProblemType.LOG_UNAVAILABLE and problem.ran is Ran.NOT_RUN
