"""Keyed calls of one daemon: finds the key's owner, and runs the call here or asks the owner."""

import asyncio
import logging
import uuid
from contextlib import AsyncExitStack
from typing import Protocol

from minttide.config.service import PlainService, Site
from minttide.ids import HostId, RequestId
from minttide.interfaces import KeyedCall, UpstreamReply
from minttide.outcome import Ran, RequestError
from minttide.rendezvous import OwnerTable, shard_of
from minttided.drafts.log_stream import FollowStream
from minttided.keys import key_problems as problems
from minttided.keys.key_shard import KeyShard, is_log_out
from minttided.keys.keyed_request import KeyedRequest
from minttided.node import Node

log = logging.getLogger(__name__)

MAX_KEY_CHARS = 255
"""Longest idempotency key, in characters."""

SHARD_IDLE_S = 60.0
"""How long a shard that was opened on demand stays open without a request, in seconds."""

LIVE_KEEP_S = 0.5
"""How long the list of live hosts is used before it is read again, in seconds."""

OWNER_CHECK_S = 0.25
"""Time between two looks at whether the owner that was asked is still up, in seconds."""

REVIEW_S = 5.0
"""Time between two looks at which shards to open and close, in seconds."""

_MS = 1000


class ForwardError(Exception):
    """The owner gave no answer. What it did is not known, unless the call was not `sent`."""

    def __init__(self, detail: str, sent: bool = True):
        super().__init__(detail)
        self.sent = sent


class Forwarder(Protocol):
    """Passes a keyed call to the host that looks after its key."""

    async def forward(self, host: HostId, call: KeyedCall) -> UpstreamReply:
        """Have `host` run the call.

        Raises `RequestError` with the owner's problem, or `ForwardError`.
        """


class KeyedCallRunner:
    """Implements `KeyedCalls` of the node. Use as an async context manager."""

    def __init__(self, node: Node, follow: FollowStream, forwarder: Forwarder | None = None):
        self._node = node
        self._follow = follow
        self._forwarder = forwarder
        self._shards: dict[int, KeyShard] = {}
        self._table: OwnerTable | None = None
        self._table_at = 0.0
        self._lock = asyncio.Lock()
        self._stack = AsyncExitStack()
        self._review: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "KeyedCallRunner":
        self._review = asyncio.create_task(self._review_shards())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._review is not None
        self._review.cancel()
        await asyncio.gather(self._review, return_exceptions=True)
        await self._close_shards(list(self._shards))

    @property
    def shards(self) -> dict[int, KeyShard]:
        """Return the open shards by number."""
        return self._shards

    async def run(self, call: KeyedCall) -> UpstreamReply:
        """Run the call at most once over all hosts, here or on the key's owner.

        Raises `RequestError`, whose problem says whether the call ran.
        """
        req = self._check(call)
        shard = shard_of(req.scope, req.key, self._site().key_shards)
        owners = self.shard_owners(shard)
        asked = False
        if self._node.cfg.host not in owners and self._forwarder is not None:
            for owner in owners:
                try:
                    return await self._forward(owner, req)
                except ForwardError as exc:
                    asked = asked or exc.sent
                    self._log_choice(shard, owner, owners, f"no answer: {exc}")
        self._log_choice(shard, self._node.cfg.host, owners, "acts itself")
        try:
            return await self._run_here(shard, req)
        except RequestError as exc:
            if asked and exc.problem.ran is Ran.NOT_RUN:
                # It did not run here, but an owner that gave no answer may still run it.
                detail = "another host was asked and gave no answer: " + exc.problem.detail
                raise problems.outcome_unknown(detail) from exc
            raise

    async def _forward(self, owner: HostId, req: KeyedRequest) -> UpstreamReply:
        """Have `owner` run the call, as long as it is believed to be up."""
        assert self._forwarder is not None
        task = asyncio.ensure_future(self._forwarder.forward(owner, req))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=OWNER_CHECK_S)
                if not task.done() and owner not in self._owner_table().hosts:
                    raise ForwardError(f"{owner} is suspected to be down")
            return task.result()
        finally:
            task.cancel()

    async def run_locally(self, call: KeyedCall) -> UpstreamReply:
        """Run a call that another host has passed on; it is not passed on again.

        Raises `RequestError`.
        """
        req = self._check(call)
        shard = shard_of(req.scope, req.key, self._site().key_shards)
        return await self._run_here(shard, req)

    async def _run_here(self, number: int, req: KeyedRequest) -> UpstreamReply:
        if self._node.config.stopped_at is not None:
            raise problems.log_out("the configuration holds records of a newer format")
        shard = await self._open(number)
        try:
            return await shard.run(req)
        except RequestError as exc:
            if not (req.rejects_duplicates and is_log_out(exc)):
                raise
        return await self._run_unclaimed(req)

    async def _run_unclaimed(self, req: KeyedRequest) -> UpstreamReply:
        """Send a call without a claim, to a service that rejects duplicates itself."""
        dispatcher = self._node.dispatcher
        if dispatcher is None:
            raise problems.log_out("this host is not ready")
        log.info("keyed call sent without a claim", extra={"service": req.service})
        request = RequestId(f"{self._node.cfg.host}/unclaimed/{uuid.uuid4().hex}")
        return await dispatcher.dispatch(request, req.service, req.call, req.deadline)

    # Checks.

    def _site(self) -> Site:
        site = self._node.config.site
        if not self._node.config_known or site is None:
            raise problems.config_unknown()
        return site

    def _check(self, call: KeyedCall) -> KeyedRequest:
        site = self._site()
        plain = self._node.config.plain(call.service)
        if not isinstance(plain, PlainService):
            raise problems.not_found(f"no plain service {call.service}")
        key = call.key
        if not 0 < len(key) <= MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
            raise problems.bad_key("an idempotency key is 1 to 255 printable ASCII characters")
        remember_ms = site.key_memory_s * _MS
        req = KeyedRequest.of(call, remember_ms, plain.rejects_duplicates)
        if req.is_older_than_memory(self._node.wall_ms()):
            raise problems.key_too_old()
        return req

    # Shards.

    def _owner_table(self) -> OwnerTable:
        shards = self._site().key_shards
        now = asyncio.get_running_loop().time()
        if self._table is None or self._table.shards != shards:
            self._table = OwnerTable(shards)
        elif now < self._table_at + LIVE_KEEP_S:
            return self._table
        self._table.update(self._live_hosts())
        self._table_at = now
        return self._table

    def _live_hosts(self) -> set[HostId]:
        members = self._node.members
        if members is None:
            return {self._node.cfg.host}
        return {m.host for m in members.hosts() if not m.leaving and not m.suspect}

    def shard_owners(self, shard: int) -> list[HostId]:
        """Return the hosts that look after a shard, as this host sees it."""
        return self._owner_table().owners(shard)

    async def _open(self, number: int) -> KeyShard:
        async with self._lock:
            shard = self._shards.get(number)
            if shard is None:
                shard = await KeyShard(self._node, number, self._follow).__aenter__()
                self._shards[number] = shard
        shard.last_used = asyncio.get_running_loop().time()
        return shard

    async def _review_shards(self) -> None:
        while True:
            try:
                await self._review_once()
            except Exception as exc:
                log.warning("review of key shards failed", extra={"error": repr(exc)})
            await asyncio.sleep(REVIEW_S)

    async def _review_once(self) -> None:
        if not self._node.config_known or self._node.config.site is None:
            return
        owned = self._owner_table().owned_by(self._node.cfg.host)
        idle_since = asyncio.get_running_loop().time() - SHARD_IDLE_S
        idle = [
            n
            for n, s in self._shards.items()
            if n not in owned and not s.busy and s.last_used < idle_since
        ]
        await self._close_shards(idle)
        for number in sorted(owned - self._shards.keys()):
            await self._open(number)

    async def _close_shards(self, numbers: list[int]) -> None:
        async with self._lock:
            closing = [self._shards.pop(n) for n in numbers if n in self._shards]
        await asyncio.gather(*(s.__aexit__(None, None, None) for s in closing))

    def _log_choice(self, shard: int, chosen: HostId, owners: list[HostId], why: str) -> None:
        log.info(
            "key owner chosen",
            extra={"shard": shard, "chosen": chosen, "candidates": ",".join(owners), "why": why},
        )
