"""Keyed calls of one daemon, run locally or forwarded to the host that owns the key."""

import asyncio
import logging
import uuid
from contextlib import AsyncExitStack
from typing import Protocol

from minttide.config.service import PlainService, Site
from minttide.ids import HostId, RequestId
from minttide.interfaces import KeyedCall, UpstreamReply
from minttide.problems import Ran, RequestError
from minttide.rendezvous import OwnerTable, shard_of
from minttided.drafts.log_stream import FollowStream
from minttided.keys import key_problems as problems
from minttided.keys.key_shard import KeyShard, is_log_unavailable
from minttided.keys.keyed_request import KeyedRequest
from minttided.node import Node

log = logging.getLogger(__name__)

MAX_KEY_CHARS = 255
"""Maximum length of an idempotency key, in characters."""

SHARD_IDLE_TIMEOUT_S = 60.0
"""How long a shard that this host doesn't own stays open without a request, in seconds."""

LIVE_HOSTS_MAX_AGE_S = 0.5
"""Maximum age of the cached list of live hosts, in seconds."""

OWNER_CHECK_INTERVAL_S = 0.25
"""Interval for checking whether the owner of a forwarded call is still up, in seconds."""

SHARD_CHECK_INTERVAL_S = 5.0
"""Interval for checking which shards to open and close, in seconds."""

_MS_PER_S = 1000


class ForwardError(Exception):
    """The owner gave no answer. The call may have run, unless `sent` is false."""

    def __init__(self, detail: str, sent: bool = True):
        super().__init__(detail)
        self.sent = sent


class Forwarder(Protocol):
    """Forwards a keyed call to the host that owns its key."""

    async def forward(self, host: HostId, call: KeyedCall) -> UpstreamReply:
        """Run the call on `host` and return the answer.

        Raises `RequestError` with the owner's problem, or `ForwardError`.
        """


class KeyedCallRunner:
    """Implements `KeyedCalls` of the node. Use as an async context manager."""

    def __init__(self, node: Node, follow: FollowStream, forwarder: Forwarder | None = None):
        self._node = node
        self._follow = follow
        self._forwarder = forwarder
        self._shards: dict[int, KeyShard] = {}
        self._owners: OwnerTable | None = None
        self._owners_updated_s = 0.0
        self._lock = asyncio.Lock()
        self._stack = AsyncExitStack()
        self._shard_checker: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "KeyedCallRunner":
        self._shard_checker = asyncio.create_task(self._check_shards())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._shard_checker is not None
        self._shard_checker.cancel()
        await asyncio.gather(self._shard_checker, return_exceptions=True)
        await self._close_shards(list(self._shards))

    @property
    def shards(self) -> dict[int, KeyShard]:
        """Return the open shards by number."""
        return self._shards

    async def run(self, call: KeyedCall) -> UpstreamReply:
        """Run the call at most once across all hosts, locally or on the key's owner.

        Raises `RequestError`, whose problem says whether the call ran.
        """
        req = self._validate(call)
        shard = shard_of(req.scope, req.key, self._site().key_shards)
        owners = self.shard_owners(shard)
        forwarded = False
        if self._node.cfg.host not in owners and self._forwarder is not None:
            for owner in owners:
                try:
                    return await self._forward(owner, req)
                except ForwardError as exc:
                    forwarded = forwarded or exc.sent
                    self._log_choice(shard, owner, owners, f"no answer: {exc}")
        self._log_choice(shard, self._node.cfg.host, owners, "run locally")
        try:
            return await self._run_here(shard, req)
        except RequestError as exc:
            if forwarded and exc.problem.ran is Ran.NOT_RUN:
                # The call did not run here, but an owner that gave no answer may still run it.
                detail = "the call was forwarded without an answer: " + exc.problem.detail
                raise problems.outcome_unknown(detail) from exc
            raise

    async def _forward(self, owner: HostId, req: KeyedRequest) -> UpstreamReply:
        """Run the call on `owner`; raises `ForwardError` also once the owner is suspected."""
        assert self._forwarder is not None
        task = asyncio.ensure_future(self._forwarder.forward(owner, req))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=OWNER_CHECK_INTERVAL_S)
                if not task.done() and owner not in self._owner_table().hosts:
                    raise ForwardError(f"{owner} is suspected to be down")
            return task.result()
        finally:
            task.cancel()

    async def run_locally(self, call: KeyedCall) -> UpstreamReply:
        """Run a call that another host has forwarded, without forwarding it again.

        Raises `RequestError`.
        """
        req = self._validate(call)
        shard = shard_of(req.scope, req.key, self._site().key_shards)
        return await self._run_here(shard, req)

    async def _run_here(self, shard_number: int, req: KeyedRequest) -> UpstreamReply:
        if self._node.config.stopped_at is not None:
            raise problems.log_unavailable("the configuration has records of a newer format")
        shard = await self._open_shard(shard_number)
        try:
            return await shard.run(req)
        except RequestError as exc:
            if not (req.rejects_duplicates and is_log_unavailable(exc)):
                raise
        return await self._run_unclaimed(req)

    async def _run_unclaimed(self, req: KeyedRequest) -> UpstreamReply:
        """Send a call without a claim to a service that rejects duplicates itself."""
        dispatcher = self._node.dispatcher
        if dispatcher is None:
            raise problems.log_unavailable("this host is not ready")
        log.info("keyed call sent without a claim", extra={"service": req.service})
        request = RequestId(f"{self._node.cfg.host}/unclaimed/{uuid.uuid4().hex}")
        return await dispatcher.dispatch(request, req.service, req.call, req.deadline)

    # Validation.

    def _site(self) -> Site:
        site = self._node.config.site
        if not self._node.config_known or site is None:
            raise problems.config_unknown()
        return site

    def _validate(self, call: KeyedCall) -> KeyedRequest:
        site = self._site()
        plain_service = self._node.config.plain(call.service)
        if not isinstance(plain_service, PlainService):
            raise problems.not_found(f"no plain service {call.service}")
        key = call.key
        if not 0 < len(key) <= MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
            raise problems.bad_key(
                "an idempotency key must have 1 to 255 printable ASCII characters"
            )
        remember_ms = site.key_memory_s * _MS_PER_S
        req = KeyedRequest.from_call(call, remember_ms, plain_service.rejects_duplicates)
        if req.is_expired(self._node.wall_ms()):
            raise problems.key_too_old()
        return req

    # Shards.

    def _owner_table(self) -> OwnerTable:
        shards = self._site().key_shards
        now_s = asyncio.get_running_loop().time()
        if self._owners is None or self._owners.shards != shards:
            self._owners = OwnerTable(shards)
        elif now_s < self._owners_updated_s + LIVE_HOSTS_MAX_AGE_S:
            return self._owners
        self._owners.update(self._live_hosts())
        self._owners_updated_s = now_s
        return self._owners

    def _live_hosts(self) -> set[HostId]:
        members = self._node.members
        if members is None:
            return {self._node.cfg.host}
        return {m.host for m in members.hosts() if not m.leaving and not m.suspect}

    def shard_owners(self, shard: int) -> list[HostId]:
        """Return the owners of a shard in order of preference, in this host's view."""
        return self._owner_table().owners(shard)

    async def _open_shard(self, shard_number: int) -> KeyShard:
        async with self._lock:
            shard = self._shards.get(shard_number)
            if shard is None:
                shard = await KeyShard(self._node, shard_number, self._follow).__aenter__()
                self._shards[shard_number] = shard
        shard.last_used_s = asyncio.get_running_loop().time()
        return shard

    async def _check_shards(self) -> None:
        while True:
            try:
                await self._check_shards_once()
            except Exception as exc:
                log.warning("key shard check failed", extra={"error": repr(exc)})
            await asyncio.sleep(SHARD_CHECK_INTERVAL_S)

    async def _check_shards_once(self) -> None:
        if not self._node.config_known or self._node.config.site is None:
            return
        owned = self._owner_table().owned_by(self._node.cfg.host)
        idle_cutoff_s = asyncio.get_running_loop().time() - SHARD_IDLE_TIMEOUT_S
        idle = [
            n
            for n, s in self._shards.items()
            if n not in owned and not s.busy and s.last_used_s < idle_cutoff_s
        ]
        await self._close_shards(idle)
        for shard_number in sorted(owned - self._shards.keys()):
            await self._open_shard(shard_number)

    async def _close_shards(self, shard_numbers: list[int]) -> None:
        async with self._lock:
            closing = [self._shards.pop(n) for n in shard_numbers if n in self._shards]
        await asyncio.gather(*(s.__aexit__(None, None, None) for s in closing))

    def _log_choice(self, shard: int, chosen: HostId, owners: list[HostId], why: str) -> None:
        log.info(
            "key owner chosen",
            extra={"shard": shard, "chosen": chosen, "candidates": ",".join(owners), "why": why},
        )
