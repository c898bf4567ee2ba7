"""Receives configuration, upstreams and loads from the reader of the zone, or a backup reader.

In each availability zone one host, the reader, reads the platform's store for the others.
"""

import asyncio
import logging
from collections.abc import Sequence

import msgspec

from minttide.decoding import MalformedBytesError
from minttide.ids import HostId, ServiceName, UpstreamId
from minttide.interfaces import MemberView
from minttide.routing.config_changes import WrongBaseError, apply_changes
from minttide.routing.list_history import NO_LIST_VERSION, ListChanges
from minttide.routing.readers import (
    SnapshotAge,
    choose_lease_candidate,
    choose_source,
    retry_factor,
    should_read_store,
)
from minttide.routing.routes import RoutingConfig, UpstreamEntry
from minttided.gateway.state import now_s
from minttided.gateway.sync.context import SyncContext
from minttided.gateway.sync.messages import (
    FULL_SYNC,
    NO_VERSION,
    CrashUpdate,
    SyncReply,
    SyncRequest,
    decode_reply,
    encode,
    unpack_config,
    unpack_config_changes,
    unpack_entries,
)
from minttided.gateway.sync.store_watchers import ConfigWatcher, UpstreamWatcher
from minttided.peers.interfaces import PeerError, Pull
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

PULL_TIMEOUT_MARGIN_S = 0.4
"""Added to the time for which the peer may hold a pull, to give its timeout."""

BACKUP_PERIOD_S = 2.0
"""How long to pull from a backup reader after a pull from the reader has failed."""

RETRY_DELAY_S = 0.1
"""Delay of the next pull after one that has failed."""


class SyncClient:
    """Pulls updates from the reader of the zone while another host is the reader."""

    def __init__(self, context: SyncContext, config: ConfigWatcher, upstreams: UpstreamWatcher):
        self._context = context
        self._state = context.state
        self._config = config
        self._upstreams = upstreams
        self._entries: dict[UpstreamId, UpstreamEntry] = {}  # the reader's list
        self._list_version = NO_LIST_VERSION
        self._needs_whole_config = False  # after changes that couldn't be applied
        self._reader: HostId | None = None
        self._failures = 0
        self._failed_s = float("-inf")

    @property
    def is_reader(self) -> bool:
        """Return whether this host is the reader of its zone."""
        ranked = self._rank_readers()
        return not ranked or ranked[0].host == self._state.cfg.host

    @property
    def is_lease_candidate(self) -> bool:
        """Return whether this host requests the placement lease on behalf of its zone."""
        ranked = [self._update_own_cuts(m) for m in self._rank_readers()]
        if not ranked:
            return True
        members = [self._update_own_cuts(m) for m in self._context.members()]
        chosen = choose_lease_candidate(ranked, members, self._find_model_services())
        return chosen is not None and chosen.host == self._state.cfg.host

    def _update_own_cuts(self, member: MemberView) -> MemberView:
        """Return the view of a host, this one with the services that it is cut off from now."""
        if member.host != self._state.cfg.host:
            return member
        cut_off = tuple(sorted(self._state.cut_off_services))
        return msgspec.structs.replace(member, cut_off=cut_off)

    def _find_model_services(self) -> set[ServiceName]:
        table = self._state.table
        services = table.services.values() if table is not None else ()
        return {spec.name for spec in services if spec.model is not None}

    def should_read_config(self) -> bool:
        """Return whether this host should read the configuration from the store itself."""
        read_timing = self._state.read_timing
        age = SnapshotAge(
            self._state.config_age_s, read_timing.config_stale_s, read_timing.config_fallback_s
        )
        return should_read_store(self._rank_readers(), self._state.cfg.host, age)

    def should_read_upstreams(self) -> bool:
        """Return whether this host should read the list of upstreams from the store itself."""
        read_timing = self._state.read_timing
        age = SnapshotAge(
            self._state.list_age_s, read_timing.list_stale_s, read_timing.list_fallback_s
        )
        return should_read_store(self._rank_readers(), self._state.cfg.host, age)

    def retry_factor(self) -> float:
        """Return the factor by which this host's retry delays at the store exceed a reader's."""
        return retry_factor(self._rank_readers(), self._state.cfg.host)

    async def run(self, ready: Ready) -> None:
        """Pull updates until cancelled."""
        ready()
        while True:
            source = self._choose_source()
            if self.is_reader or source is None:
                await self._state.ticks.wait()
            elif not await self._pull(source):
                self._failures += 1
                self._failed_s = now_s()
                await asyncio.sleep(RETRY_DELAY_S)

    def _choose_source(self) -> MemberView | None:
        """Return the reader, or a backup reader for a while after a failed or outdated pull."""
        if now_s() - self._failed_s > BACKUP_PERIOD_S:
            self._failures = 0
        return choose_source(self._rank_readers(), self._state.cfg.host, self._failures)

    def _rank_readers(self) -> Sequence[MemberView]:
        return self._context.rank_readers(self._state.cfg.zone)

    async def _pull(self, reader: MemberView) -> bool:
        """Pull from one host; return whether it replied and its data is recent enough."""
        self._set_reader(reader.host)
        sent_s = self._state.clock()
        timeout_s = self._state.read_timing.long_poll_s + PULL_TIMEOUT_MARGIN_S
        crashes = self._context.crash_news.make_request(reader.host)
        try:
            pulled = await self._context.peer_client.pull(
                reader.peer, self._make_request(crashes), timeout_s
            )
            reply = decode_reply(pulled.snapshot.data) if pulled.snapshot else None
            if reply is None:
                return False
            self._context.crash_news.apply_reply(reader.host, crashes, reply.crashes)
            self._apply_reply(reply, sent_s + reply.held_s)
        except (PeerError, MalformedBytesError) as exc:
            log.info("peer sync failed", extra={"reader": reader.host, "reason": str(exc)})
            self._list_version = NO_LIST_VERSION
            return False
        read_timing = self._state.read_timing
        return (
            reply.config_age_s <= read_timing.config_stale_s
            and reply.upstreams_age_s <= read_timing.list_stale_s
        )

    def _make_request(self, crashes: CrashUpdate) -> Pull:
        cfg, table = self._state.cfg, self._state.table
        known = table.version if table is not None else NO_VERSION
        request = SyncRequest(
            cfg.host,
            cfg.zone,
            self._context.loads.local_usages(),
            NO_VERSION if self._needs_whole_config else known,
            self._list_version,
            sorted(self._state.find_reportable_failures()),
            crashes,
            takes_config_changes=True,
            leaving=self._state.leaving_processes.recent(now_s()),
            faults=self._context.fault_reports.make_own(),
        )
        return Pull(FULL_SYNC, encode(request))

    def _apply_reply(self, reply: SyncReply, replied_s: float) -> None:
        """Apply a reply that was made at `replied_s`, the time that its ages refer to.

        Raises `MalformedBytesError`.
        """
        self._context.peer_loads.set_peer_totals(reply.usages)
        self._context.fault_reports.apply_reply(reply.faults)
        self._context.on_unreachable(reply.silent)
        if reply.blocks_known:
            self._state.set_blocks_known()
        self._apply_config(reply, replied_s - reply.config_age_s)
        if reply.upstreams is not None:
            self._entries = {e.id: e for e in unpack_entries(reply.upstreams)}
        elif reply.changes is not None:
            self._apply_changes(reply.changes)
        else:
            return
        self._list_version = reply.list_version
        self._upstreams.update(list(self._entries.values()), replied_s - reply.upstreams_age_s)

    def _apply_config(self, reply: SyncReply, confirmed_s: float) -> None:
        """Apply the configuration of a reply, which confirms at `confirmed_s` what is current.

        Raises `MalformedBytesError`.
        """
        table = self._state.table
        if table is not None and reply.config_changes is not None:
            config = self._change_config(table.config, reply.config_changes)
            if config is None:
                return  # The reader has a newer one, so that nothing is confirmed.
        else:
            self._needs_whole_config = False
            config = self._unpack_whole(reply.config) if reply.config is not None else None
        self._config.update(config, confirmed_s)

    def _unpack_whole(self, packed: bytes) -> RoutingConfig:
        return self._config.share_items(unpack_config(packed))

    def _change_config(self, current: RoutingConfig, packed: bytes) -> RoutingConfig | None:
        """Return the configuration after packed changes, or None to ask again.

        Raises `MalformedBytesError`, after which the whole is asked for as well.
        """
        self._needs_whole_config = True
        changes = unpack_config_changes(packed)
        self._needs_whole_config = False
        if current.version >= changes.version:
            return current
        try:
            return apply_changes(current, changes)
        except WrongBaseError as exc:
            log.warning(
                "configuration changes not applied",
                extra={"reader": self._reader, "version": changes.version, "reason": str(exc)},
            )
            self._needs_whole_config = changes.base == current.version
            return None

    def _apply_changes(self, changes: ListChanges) -> None:
        self._entries.update({e.id: e for e in changes.changed})
        for upstream in changes.gone:
            self._entries.pop(upstream, None)

    def _set_reader(self, reader: HostId) -> None:
        if reader != self._reader:
            log.info("peer sync source changed", extra={"reader": reader, "before": self._reader})
            self._reader = reader
            self._list_version = NO_LIST_VERSION
