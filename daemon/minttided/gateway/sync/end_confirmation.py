"""Asks other hosts whether an upstream has ended that this host can no longer connect to.

On a host that is cut off from the upstreams, broken connections that are refused afterwards look
like upstreams that a request has crashed.
"""

import asyncio
import logging

from minttide.decoding import MalformedBytesError
from minttide.interfaces import MemberView
from minttide.policy.crash_reports import CrashReport
from minttide.routing.routes import UpstreamEntry
from minttided.gateway.sync.context import SyncContext
from minttided.gateway.sync.messages import REACH_ONLY, SyncRequest, decode_reply, encode
from minttided.peers.interfaces import PeerError, Pull

log = logging.getLogger(__name__)

CONFIRMING_HOSTS = 2
"""Hosts asked about one upstream, one of another availability zone first."""

CONFIRM_TIMEOUT_S = 0.25


class EndConfirmation:
    """Adds reports of crashes once other hosts can't reach the upstream either."""

    def __init__(self, context: SyncContext):
        self._context = context
        self._state = context.state
        self._tasks: set[asyncio.Task[None]] = set()

    def report(self, entry: UpstreamEntry, report: CrashReport) -> None:
        """Add the report of a crash of `entry` after asking other hosts."""
        task = asyncio.create_task(self._report(entry, report))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report(self, entry: UpstreamEntry, report: CrashReport) -> None:
        if await self._has_ended(entry):
            self._state.prompt_crashes.add([report], own=True)
            return
        log.warning(
            "crash not confirmed",
            extra={"engine": entry.id, "parts": report.parts},
        )

    async def _has_ended(self, entry: UpstreamEntry) -> bool:
        """Return whether no host that answers reaches an upstream.

        If there are other hosts and none of them answers, nothing is known.
        """
        if entry.service in self._state.cut_off_services:
            return False
        hosts = self._choose_hosts(entry)
        found = await asyncio.gather(*(self._reaches(host, entry) for host in hosts))
        answers = [reached for reached in found if reached is not None]
        return not any(answers) if answers else not hosts

    def _choose_hosts(self, entry: UpstreamEntry) -> list[MemberView]:
        """Return hosts to ask, one of another zone first, as the cut may be that of a zone."""
        cfg = self._state.cfg
        hosts = [
            m
            for m in self._context.members()
            if m.host != cfg.host and not m.leaving and entry.service not in m.cut_off
        ]
        self._state.rng.shuffle(hosts)
        hosts.sort(key=lambda m: (m.suspect, m.zone == cfg.zone))
        return hosts[:1] + sorted(hosts[1:], key=lambda m: m.suspect)[: CONFIRMING_HOSTS - 1]

    async def _reaches(self, host: MemberView, entry: UpstreamEntry) -> bool | None:
        """Return whether a host reaches an upstream, `None` if it doesn't answer."""
        cfg = self._state.cfg
        request = SyncRequest(cfg.host, cfg.zone, silent=[entry.id])
        try:
            pulled = await self._context.peer_client.pull(
                host.peer, Pull(REACH_ONLY, encode(request)), CONFIRM_TIMEOUT_S
            )
            reply = decode_reply(pulled.snapshot.data) if pulled.snapshot else None
        except (PeerError, MalformedBytesError) as exc:
            log.info("upstream not confirmed", extra={"host": host.host, "reason": str(exc)})
            return None
        return entry.id not in reply.silent if reply is not None else None
