"""One key shard on one host: claims keys in the log, dispatches calls and records the answers.

A call is dispatched only by the attempt that wrote its claim, after the log was read up to that
claim and the fold names it as the holder of the key. An attempt that gives up before dispatching
never dispatches later. Its claim is withdrawn, even if it only appears in the log afterwards.
"""

import asyncio
import itertools
import logging
from collections.abc import Sequence
from contextlib import AsyncExitStack

from minttide.folds.fold import ChangeResult, Decision
from minttide.folds.keys import KeyEntry, KeyFold, KeyStatus, key_name
from minttide.ids import ClaimId, RequestId, key_stream
from minttide.interfaces import LogUnavailableError, LogUncertainError, UpstreamReply
from minttide.problems import ProblemType, Ran, RequestError
from minttide.records import Answer, Claim, KeyChange, Withdrawal
from minttided.drafts.log_stream import FollowStream
from minttided.keys import key_problems as problems
from minttided.keys.key_batcher import KeyBatcher, TooManyPendingError
from minttided.keys.keyed_request import KeyedRequest
from minttided.node import Node

log = logging.getLogger(__name__)

MAX_CLAIM_ATTEMPTS = 4
"""Attempts of a request to claim a key that others keep claiming and withdrawing."""

KEY_APPENDS_PER_S = 100.0
"""Maximum appends per second to all key streams together, if each shard is owned by one host."""

MAX_OUTCOME_WAIT_S = 2.0
"""Maximum wait for the answer of a call that another host has claimed, in seconds."""

MAX_ANSWER_BYTES = 32 * 1024
"""Maximum size of an answer body that is kept with its key."""

RECORD_RETRY_DELAY_S = 0.5
"""Delay between attempts to record an answer or a withdrawal, in seconds."""

RECORD_TIMEOUT_S = 60.0
"""How long to retry recording an answer or a withdrawal, in seconds."""

CLOSE_TIMEOUT_S = 5.0
"""How long a closing shard waits for calls in progress, and then for their records, in seconds."""


class KeyShard:
    """One shard, followed and written by this host. Use as an async context manager."""

    def __init__(self, node: Node, shard: int, follow: FollowStream):
        self._node = node
        self._shard = shard
        self._follow = follow
        self._fold = KeyFold()
        self._stack = AsyncExitStack()
        self._claim_numbers = itertools.count(1)
        self._live_claims: set[ClaimId] = set()  # of attempts in progress
        self._running: dict[str, asyncio.Task[UpstreamReply]] = {}
        self._records: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self.last_used_s = 0.0

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
        follower = self._follow(stream, self._fold, self._handle_results)
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
        for limit_s in (CLOSE_TIMEOUT_S, CLOSE_TIMEOUT_S):
            tasks = [*self._running.values(), *self._records]
            if tasks:
                await asyncio.wait(tasks, timeout=limit_s)
        unfinished = [*self._running.values(), *self._records]
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        await self._stack.aclose()

    def _append_interval_s(self) -> float:
        site = self._node.config.site
        return site.key_shards / KEY_APPENDS_PER_S if site else 0.0

    async def run(self, req: KeyedRequest) -> UpstreamReply:
        """Run the call of `req` at most once over all hosts, or return its recorded answer.

        Requests of one key on this host share one attempt. Raises `RequestError`.
        """
        task_key = key_name(req.scope, req.key) + "\n" + req.digest
        task = self._running.get(task_key)
        if task is None:
            task = asyncio.create_task(self._attempt(req))
            self._running[task_key] = task
            task.add_done_callback(lambda done: self._remove_attempt(task_key, done))
        # The attempt continues if the caller disconnects, so that its outcome is recorded.
        done, _ = await asyncio.wait(
            {task}, timeout=self._remaining_s(req) + problems.DEADLINE_GRACE_S
        )
        if not done:
            raise problems.outcome_unknown("the call was still in progress at the deadline")
        return task.result()

    def _remove_attempt(self, task_key: str, task: asyncio.Task[UpstreamReply]) -> None:
        self._running.pop(task_key, None)
        if not task.cancelled():
            task.exception()  # marks the exception as retrieved if no caller is waiting

    def _remaining_s(self, req: KeyedRequest) -> float:
        return max(0.0, req.deadline - asyncio.get_running_loop().time())

    async def _attempt(self, req: KeyedRequest) -> UpstreamReply:
        await self._wait_ready(req)
        for _ in range(MAX_CLAIM_ATTEMPTS):
            entry = self._fold.find(req.scope, req.key)
            if entry is not None and entry.status is not KeyStatus.FREE:
                return await self._await_answer(req, entry)
            claim = self._new_claim(req)
            self._live_claims.add(claim.claim_id)
            try:
                if await self._claim(req, claim):
                    return await self._dispatch(req, claim)
            finally:
                self._live_claims.discard(claim.claim_id)
        raise problems.key_in_use()

    async def _wait_ready(self, req: KeyedRequest) -> None:
        limit_s = min(self._remaining_s(req), problems.MAX_READY_WAIT_S)
        try:
            async with asyncio.timeout(limit_s):
                await self._follower.wait_synced()
        except (TimeoutError, LogUnavailableError) as exc:
            raise problems.log_unavailable("the key stream could not be read") from exc
        if self._fold.stopped_at is not None:
            raise problems.log_unavailable("the key stream has records of a newer format")
        if req.is_expired(self._fold.now_ms):
            raise problems.key_too_old()

    # Claims.

    def _new_claim(self, req: KeyedRequest) -> Claim:
        node = self._node
        number = next(self._claim_numbers)
        claim_id = ClaimId(f"{node.cfg.host}/{node.incarnation}/{self._shard}.{number}")
        seen = self._fold.changed(req.scope, req.key)
        return Claim(claim_id, req.scope, req.key, req.digest, seen, req.remember_ms)

    async def _claim(self, req: KeyedRequest, claim: Claim) -> bool:
        """Append `claim`, wait until it is applied and return whether it holds the key."""
        try:
            async with asyncio.timeout(self._remaining_s(req)):
                offset = await self._batcher.submit(claim)
                await self._follower.wait_applied(offset)
        except TimeoutError as exc:
            self._start_record(_withdraw(claim))
            raise problems.deadline_exceeded(
                "the claim of the key was not applied in time"
            ) from exc
        except LogUncertainError as exc:
            self._start_record(_withdraw(claim))
            raise problems.log_unavailable(
                "an append to the key stream was not acknowledged"
            ) from exc
        except LogUnavailableError as exc:
            raise problems.log_unavailable("the platform log is unavailable") from exc
        except TooManyPendingError as exc:
            raise problems.overloaded() from exc
        entry = self._fold.find(req.scope, req.key)
        if self._fold.stopped_at is not None:
            self._start_record(_withdraw(claim))
            raise problems.log_unavailable("the key stream has records of a newer format")
        is_own = entry is not None and entry.claim_id == claim.claim_id
        return is_own and entry is not None and entry.status is KeyStatus.CLAIMED

    async def _dispatch(self, req: KeyedRequest, claim: Claim) -> UpstreamReply:
        if self._remaining_s(req) <= 0.0:
            self._start_record(_withdraw(claim))
            raise problems.deadline_exceeded("the deadline passed before the call was sent")
        dispatcher = self._node.dispatcher
        if dispatcher is None:
            self._start_record(_withdraw(claim))
            raise problems.log_unavailable("this host is not ready")
        request = RequestId(claim.claim_id)
        try:
            reply = await dispatcher.dispatch(request, req.service, req.call, req.deadline)
        except RequestError as exc:
            if exc.problem.ran is Ran.NOT_RUN:
                self._start_record(_withdraw(claim))
            raise
        kept = reply.body if len(reply.body) <= MAX_ANSWER_BYTES else None
        self._start_record(
            Answer(claim.claim_id, claim.scope, claim.key, reply.status, reply.content_type, kept)
        )
        return reply

    # Keys that are already claimed.

    async def _await_answer(self, req: KeyedRequest, entry: KeyEntry) -> UpstreamReply:
        """Return the recorded answer, waiting for a call in progress elsewhere."""
        if entry.digest != req.digest:
            raise problems.key_mismatch()
        loop = asyncio.get_running_loop()
        until_s = min(req.deadline, loop.time() + MAX_OUTCOME_WAIT_S)
        while entry.status is KeyStatus.CLAIMED:
            if not self._may_still_answer(entry) or not await self._wait_for_change(
                until_s - loop.time()
            ):
                raise problems.outcome_unknown("the call was sent and its answer is unknown")
            current = self._fold.find(req.scope, req.key)
            if current is None or current.status is KeyStatus.FREE:
                raise problems.key_in_use()
            entry = current
        assert entry.answer is not None
        if entry.answer.body is None:
            raise problems.answer_not_kept(entry.answer.status)
        return UpstreamReply(entry.answer.status, entry.answer.content_type, entry.answer.body)

    def _may_still_answer(self, entry: KeyEntry) -> bool:
        """Return whether the process that claimed the key isn't down; it may be suspected."""
        if (entry.host, entry.incarnation) == (self._node.cfg.host, self._node.incarnation):
            return entry.claim_id in self._live_claims or bool(self._records)
        members = self._node.members.hosts() if self._node.members else ()
        return any((m.host, m.incarnation) == (entry.host, entry.incarnation) for m in members)

    async def _wait_for_change(self, limit_s: float) -> bool:
        if limit_s <= 0:
            return False
        try:
            async with asyncio.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    # Results of changes, and recording.

    def _handle_results(self, results: Sequence[ChangeResult]) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        own_process = (self._node.cfg.host, self._node.incarnation)
        for result in results:
            if result.decision is not Decision.ACCEPTED or not isinstance(result.body, Claim):
                continue
            if (result.host, result.incarnation) == own_process:
                self._withdraw_if_abandoned(result.body)

    def _withdraw_if_abandoned(self, claim: Claim) -> None:
        if claim.claim_id not in self._live_claims:
            log.info("abandoned claim withdrawn", extra={"claim": claim.claim_id})
            self._start_record(_withdraw(claim))

    def _start_record(self, change: KeyChange) -> None:
        task = asyncio.create_task(self._record_with_retries(change))
        self._records.add(task)
        task.add_done_callback(self._records.discard)

    async def _record_with_retries(self, change: KeyChange) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + RECORD_TIMEOUT_S
        while loop.time() < until_s:
            try:
                await self._follower.wait_applied(await self._batcher.submit(change))
                return
            except (LogUnavailableError, LogUncertainError, TooManyPendingError):
                await asyncio.sleep(RECORD_RETRY_DELAY_S)
        log.warning(
            "change of a key not recorded",
            extra={"claim": change.claim_id, "change": type(change).__name__},
        )


def _withdraw(claim: Claim) -> Withdrawal:
    return Withdrawal(claim.claim_id, claim.scope, claim.key)


def is_log_unavailable(exc: RequestError) -> bool:
    """Return whether a request was rejected only because the platform log is unavailable."""
    problem = exc.problem
    return problem.type is ProblemType.LOG_UNAVAILABLE and problem.ran is Ran.NOT_RUN
