"""Keyed calls of one daemon, run locally or forwarded to the host that owns the key."""

import asyncio
import logging
import uuid
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Protocol

from minttide.config.service import PlainService, Site
from minttide.ids import HostId, RequestId
from minttide.interfaces import KeyedCall, MemberView, UpstreamReply
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

HOSTS_MAX_AGE_S = 0.5
"""Maximum age of the cached list of hosts, in seconds."""

OWNER_CHECK_INTERVAL_S = 0.25
"""Interval for checking whether the owner of a forwarded call is suspected or down, in seconds."""

SHARD_CHECK_INTERVAL_S = 5.0
"""Interval for checking which shards to open and close, in seconds."""

_MS_PER_S = 1000


class ForwardError(Exception):
    """The owner gave no answer. The call may have run, unless `sent` is false."""

    def __init__(self, detail: str, sent: bool = True):
        super().__init__(detail)
        self.sent = sent


Outcome = UpstreamReply | RequestError | ForwardError
"""What one host that was asked to run a call returned."""

_RAN_FIRST = (Ran.DONE, Ran.UNKNOWN, Ran.NOT_RUN)
"""Of the errors of several hosts, the one that comes first here is told."""


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
        self._owners_of: dict[HostId, MemberView] | None = None  # hosts the owners are chosen from
        self._hosts: dict[HostId, MemberView] = {}
        self._hosts_updated_s = -HOSTS_MAX_AGE_S
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
        if self._node.cfg.host in owners or self._forwarder is None:
            self._log_choice(shard, self._node.cfg.host, owners, "run locally")
            return await self._run_here(shard, req)
        return await self._run_on_owners(shard, req, owners)

    async def _run_on_owners(
        self, shard: int, req: KeyedRequest, owners: list[HostId]
    ) -> UpstreamReply:
        """Ask the owners in turn, and this host last, until one of them returns a reply.

        The next one is asked once every earlier one is suspected or gave no answer. A suspected one
        may still answer and is waited for as well: the log lets only one of them send the call.
        Raises `RequestError`.
        """
        unasked = [*owners, self._node.cfg.host]
        asked: dict[asyncio.Task[Outcome], HostId] = {}
        errors: list[RequestError] = []
        may_run = False  # one that gave no answer may still run the call
        try:
            while True:
                if unasked and not errors and all(map(self._is_suspect, asked.values())):
                    host = unasked.pop(0)
                    if len(unasked) < len(owners):
                        why = "those asked before are suspected" if asked else "no answer before"
                        self._log_choice(shard, host, owners, why)
                    asked[asyncio.create_task(self._ask(host, shard, req))] = host
                if not asked:
                    break
                done, _ = await asyncio.wait(
                    asked, timeout=OWNER_CHECK_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    host, outcome = asked.pop(task), task.result()
                    if isinstance(outcome, RequestError):
                        errors.append(outcome)
                    elif isinstance(outcome, ForwardError):
                        may_run = may_run or outcome.sent
                        self._log_choice(shard, host, owners, f"no answer: {outcome}")
                    else:
                        return outcome
        finally:
            for task in asked:
                task.cancel()
        error = min(errors, key=lambda exc: _RAN_FIRST.index(exc.problem.ran))
        if may_run and error.problem.ran is Ran.NOT_RUN:
            detail = "the call was forwarded without an answer: " + error.problem.detail
            raise problems.outcome_unknown(detail) from error
        raise error

    async def _ask(self, host: HostId, shard: int, req: KeyedRequest) -> Outcome:
        """Run the call on `host`, which may be this one; errors are returned, not raised."""
        try:
            if host == self._node.cfg.host:
                return await self._run_here(shard, req)
            return await self._forward(host, req)
        except (RequestError, ForwardError) as exc:
            return exc

    async def _forward(self, owner: HostId, req: KeyedRequest) -> UpstreamReply:
        """Run the call on `owner`.

        Raises `RequestError`, or `ForwardError` also once `owner` is down or a later process runs
        under its name; not while it is only suspected or leaving.
        """
        assert self._forwarder is not None
        asked = next((m for m in self._list_hosts() if m.host == owner), None)
        task = asyncio.ensure_future(self._forwarder.forward(owner, req))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=OWNER_CHECK_INTERVAL_S)
                if not task.done() and asked is not None and self._has_ended(asked):
                    raise ForwardError(f"{owner} is down")
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
        hosts = self._hosts_by_id()
        if self._owners is None or self._owners.shards != shards:
            self._owners = OwnerTable(shards)
        elif self._owners_of is hosts:
            return self._owners
        live = {m.host for m in hosts.values() if not m.leaving and not m.suspect}
        self._owners.update(live if self._node.members else {self._node.cfg.host})
        self._owners_of = hosts
        return self._owners

    def _hosts_by_id(self) -> dict[HostId, MemberView]:
        """Return the hosts that aren't down; a new dict after `HOSTS_MAX_AGE_S`."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._hosts_updated_s + HOSTS_MAX_AGE_S:
            self._hosts = {m.host: m for m in self._list_hosts()}
            self._hosts_updated_s = now_s
        return self._hosts

    def _list_hosts(self) -> Sequence[MemberView]:
        return self._node.members.hosts() if self._node.members else ()

    def _is_suspect(self, host: HostId) -> bool:
        member = self._hosts_by_id().get(host)
        return member is None or member.suspect

    def _has_ended(self, asked: MemberView) -> bool:
        """Return whether the process that `asked` describes is down or was replaced."""
        current = self._hosts_by_id().get(asked.host)
        return current is None or current.incarnation > asked.incarnation

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
