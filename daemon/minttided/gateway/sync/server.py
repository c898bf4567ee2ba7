"""Serves configuration, upstreams and loads to the other hosts."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from minttide.decoding import MalformedBytesError
from minttide.folds.checkpoint import Checkpoint
from minttide.ids import Offset, UpstreamId
from minttide.interfaces import UpstreamReply
from minttide.layers.usage import add_usages
from minttide.policy.admission_reports import limit_accounts
from minttide.policy.unreachable import UnreachableReports
from minttide.problems import Problem, ProblemType, Ran
from minttide.routing.leaving_processes import MAX_TOLD
from minttide.routing.list_history import ListVersion
from minttide.routing.routes import RoutingConfig
from minttide.routing.sources import SourceError
from minttided.gateway.connect_probe import probe_connection
from minttided.gateway.state import now_s
from minttided.gateway.sync.context import SyncContext
from minttided.gateway.sync.messages import (
    CRASHES_ONLY,
    FULL_SYNC,
    LOADS_ONLY,
    REACH_ONLY,
    SyncReply,
    SyncRequest,
    decode_request,
    encode,
    pack,
)
from minttided.http.messages import HttpResponse, StreamResponse
from minttided.http.problems import problem, problem_response
from minttided.peers.interfaces import (
    ForwardedCall,
    ForwardedRequest,
    Probe,
    ProbeReply,
    Pull,
    PullReply,
)
from minttided.peers.membership import Membership

log = logging.getLogger(__name__)

MAX_PROBED = 4
"""Upstreams that are probed for one request of another host."""


Forward = Callable[[ForwardedRequest], Awaitable[HttpResponse | StreamResponse]]
"""Runs a caller's request that a peer has received."""


class SyncServer:
    """Implements `PeerService`: answers pulls itself, and passes probes to the membership.

    `forward` runs the requests that peers pass on; without it they are rejected.
    """

    def __init__(
        self, context: SyncContext, membership: Membership, forward: Forward | None = None
    ):
        self._context = context
        self._forward = forward
        self._state = context.state
        self._peer_loads = context.peer_loads
        self._membership = membership
        self._unreachable_reports = UnreachableReports()
        self._packed_config: tuple[int, bytes] | None = None
        self._packed_list: tuple[ListVersion, bytes] | None = None

    async def on_probe(self, probe: Probe) -> ProbeReply:
        """Pass a membership probe on, and return its answer."""
        return await self._membership.on_probe(probe)

    async def on_call(self, call: ForwardedCall) -> UpstreamReply | Problem:
        """Reject keyed calls, which a gateway doesn't run."""
        return problem(ProblemType.NOT_FOUND, "a gateway doesn't run keyed calls", Ran.NOT_RUN)

    async def on_forward(self, request: ForwardedRequest) -> HttpResponse | StreamResponse:
        """Run a caller's request that a peer has received."""
        if self._forward is None:
            return problem_response(
                problem(ProblemType.NO_UPSTREAM, "this host doesn't run forwarded requests")
            )
        return await self._forward(request)

    async def on_pull(self, pull: Pull) -> PullReply:
        """Return what is newer than the requesting host's data, waiting a while for changes."""
        received_s = self._state.clock()
        try:
            request = decode_request(pull.note)
        except MalformedBytesError as exc:
            log.info("peer sync request not decoded", extra={"reason": str(exc)})
            return PullReply()
        if pull.start == REACH_ONLY:
            return PullReply(snapshot=await self._probe_upstreams(request))
        self._context.crash_news.apply_request(request.crashes)
        if pull.start == CRASHES_ONLY:
            return PullReply(snapshot=self._make_brief_snapshot(pull.start, request))
        self._record_peer_state(request)
        if pull.start == LOADS_ONLY:
            return PullReply(snapshot=self._make_brief_snapshot(pull.start, request))
        await self._wait_for_changes(request)
        return PullReply(snapshot=self._make_snapshot(request, received_s))

    async def _probe_upstreams(self, request: SyncRequest) -> Checkpoint:
        """Return which of the upstreams in a request this host can't reach."""
        upstreams = request.silent[:MAX_PROBED]
        found = await asyncio.gather(*(self._reaches(u) for u in upstreams))
        reply = SyncReply(0.0, self._state.config_age_s, self._state.list_age_s)
        reply.silent = [u for u, reached in zip(upstreams, found, strict=True) if not reached]
        return Checkpoint(REACH_ONLY, encode(reply))

    async def _reaches(self, upstream: UpstreamId) -> bool:
        entry = self._state.find_upstream(upstream)
        if entry is None:
            return False
        try:
            await probe_connection(self._state, entry)
        except SourceError:
            return False
        return True

    def _record_peer_state(self, request: SyncRequest) -> None:
        for process in request.leaving[:MAX_TOLD]:
            self._state.record_leaving(process, "peer")
        if request.zone == self._state.cfg.zone:
            self._peer_loads.hosts.record(request.host, request.usages, now_s())
            self._context.fault_reports.record_host(request.host, request.faults)
            self._unreachable_reports.record(request.host, frozenset(request.silent), now_s())
        else:
            self._peer_loads.zones.record(request.zone, request.usages, now_s())
            self._context.fault_reports.record_zone(request.zone, request.faults)

    async def _wait_for_changes(self, request: SyncRequest) -> None:
        """Wait until there is something newer for the requesting host, at most `long_poll_s`."""
        until_s = now_s() + self._state.read_timing.long_poll_s
        while not self._needs_update(request) and now_s() < until_s:
            changed = self._state.changed
            try:
                async with asyncio.timeout_at(until_s):
                    await changed.wait()
            except TimeoutError:
                return

    def _needs_update(self, request: SyncRequest) -> bool:
        return (
            self._needs_config(request)
            or self._needs_list(request)
            or self._context.crash_news.needs_reply(request.crashes)
        )

    def _needs_config(self, request: SyncRequest) -> bool:
        table = self._state.table
        return table is not None and table.version > request.config_version

    def _needs_list(self, request: SyncRequest) -> bool:
        history = self._state.list_history
        return self._state.upstreams_known and request.list_version != history.version

    def _find_unreachable(self) -> list[UpstreamId]:
        """Return the upstreams that several hosts of this zone can't reach."""
        unreachable = frozenset(self._state.find_reportable_failures())
        self._unreachable_reports.record(self._state.cfg.host, unreachable, now_s())
        return self._unreachable_reports.confirmed_unreachable(now_s())

    # Replies.

    def _make_brief_snapshot(self, start: Offset, request: SyncRequest) -> Checkpoint:
        """Return a reply without configuration and list."""
        reply = SyncReply(0.0, self._state.config_age_s, self._state.list_age_s)
        if start == LOADS_ONLY:
            reply.usages = self._context.sum_zone_usages()
            reply.faults = self._context.fault_reports.make_zone()
        reply.crashes = self._context.crash_news.make_reply(request.crashes)
        return Checkpoint(start, encode(reply))

    def _make_snapshot(self, request: SyncRequest, received_s: float) -> Checkpoint:
        state = self._state
        others = self._peer_loads.hosts.total(now_s(), without=request.host)
        zones = self._peer_loads.zones.total(now_s())
        usages = limit_accounts(add_usages([self._context.loads.local_usages(), others, zones]))
        reply = SyncReply(state.clock() - received_s, state.config_age_s, state.list_age_s, usages)
        reply.crashes = self._context.crash_news.make_reply(request.crashes)
        reply.faults = self._context.fault_reports.make_reply(request.host)
        reply.blocks_known = not state.awaits_blocks
        reply.silent = self._find_unreachable()
        self._context.on_unreachable(reply.silent)
        if state.table is not None:
            self._add_config(reply, request, state.table.config)
        if self._state.upstreams_known:
            self._add_list(reply, request)
        return Checkpoint(FULL_SYNC, encode(reply))

    def _add_config(self, reply: SyncReply, request: SyncRequest, config: RoutingConfig) -> None:
        versions = self._context.config_versions
        versions.record(config)
        if not self._needs_config(request):
            return
        if request.takes_config_changes:
            reply.config_changes = versions.pack_changes(request.config_version)
        if reply.config_changes is None:
            reply.config = self._pack_config(config)

    def _add_list(self, reply: SyncReply, request: SyncRequest) -> None:
        history = self._state.list_history
        reply.list_version = history.version
        reply.changes = history.since(request.list_version, self._state.upstreams)
        if reply.changes is None:
            reply.upstreams = self._pack_list()

    def _pack_config(self, config: RoutingConfig) -> bytes:
        if self._packed_config is None or self._packed_config[0] != config.version:
            self._packed_config = (config.version, pack(config))
        return self._packed_config[1]

    def _pack_list(self) -> bytes:
        version = self._state.list_history.version
        if self._packed_list is None or self._packed_list[0] != version:
            self._packed_list = (version, pack(list(self._state.upstreams.values())))
        return self._packed_list[1]
