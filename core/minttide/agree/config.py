"""The fold of the configuration stream: compare and accept, a publish whole or not at all."""

import msgspec

from minttide.agree.fold import BaseState, ChangeResult, Decision, StreamFold, judge
from minttide.config.service import SITE_NAME, ModelService, PlainService, ServiceFile, Site
from minttide.ids import NO_OFFSET, Offset, PublishId, ServiceName
from minttide.records import Envelope, Publish, ServiceChange

PUBLISH_MAX_AGE_MS = 10 * 60 * 1000
"""A publish older than this against the fold's time is a late copy and is rejected."""

TOMBSTONE_MS = 60 * 60 * 1000
"""How long a withdrawn service's last change is remembered; longer than a publish may be late."""


class ServiceEntry(msgspec.Struct, frozen=True):
    """One service as it stands. `file` is absent once the service was withdrawn.

    `time_ms` is the latest time in any publish, accepted or not, that named the service, so that
    every copy of one of them is too old by the time the entry is forgotten.
    """

    changed: Offset
    publish_id: PublishId
    time_ms: int
    file: ServiceFile | None


class _State(BaseState):
    services: dict[ServiceName, ServiceEntry] = {}
    key_shards: int | None = None  # of the first accepted site file, for good


class ConfigFold(StreamFold[_State]):
    """The configuration in force after the records folded so far."""

    def __init__(self) -> None:
        super().__init__(_State)
        self._withdrawn: set[ServiceName] = set()

    @property
    def entries(self) -> dict[ServiceName, ServiceEntry]:
        """Return every remembered service, withdrawn ones among them."""
        return self._state.services

    @property
    def files(self) -> dict[ServiceName, ServiceFile]:
        """Return the files in force by service name."""
        return {n: e.file for n, e in self._state.services.items() if e.file is not None}

    @property
    def site(self) -> Site | None:
        """Return the site file, if one is in force."""
        file = self.find(SITE_NAME)
        return file if isinstance(file, Site) else None

    def find(self, service: ServiceName) -> ServiceFile | None:
        """Return the file of a service in force."""
        entry = self._state.services.get(service)
        return entry.file if entry else None

    def model(self, service: ServiceName) -> ModelService | None:
        """Return a model service in force."""
        file = self.find(service)
        return file if isinstance(file, ModelService) else None

    def plain(self, service: ServiceName) -> PlainService | None:
        """Return a plain service in force."""
        file = self.find(service)
        return file if isinstance(file, PlainService) else None

    def changed(self, service: ServiceName) -> Offset:
        """Return the offset of a service's last change, or -1."""
        entry = self._state.services.get(service)
        return entry.changed if entry else NO_OFFSET

    def _judge_record(self, offset: Offset, envelope: Envelope) -> list[ChangeResult]:
        decision, detail = self._decide(offset, envelope)
        return [judge(offset, envelope, decision, detail)]

    def _decide(self, offset: Offset, envelope: Envelope) -> tuple[Decision, str]:
        body = envelope.body
        if not isinstance(body, Publish):
            return Decision.FOREIGN, type(body).__name__
        if envelope.time_ms < self.now_ms - PUBLISH_MAX_AGE_MS:
            return Decision.TOO_OLD, "written too long ago"
        if self._is_repeat(body):
            return Decision.REPEATED, "this publish was accepted before"
        malformed = self._find_malformed(body)
        if malformed:
            return Decision.MALFORMED, malformed
        self._note_time(body, envelope.time_ms)
        lost = [c.service for c in body.changes if c.seen != self.changed(c.service)]
        if lost:
            return Decision.STALE, "changed by another publish: " + ", ".join(sorted(lost))
        self._accept(offset, envelope.time_ms, body)
        return Decision.ACCEPTED, ""

    def _accept(self, offset: Offset, time_ms: int, publish: Publish) -> None:
        services = self._state.services
        for change in publish.changes:
            old = services.get(change.service)
            latest_ms = max(time_ms, old.time_ms if old else 0)
            self._put(
                change.service,
                ServiceEntry(offset, publish.publish_id, latest_ms, change.file),
            )
            if isinstance(change.file, Site):
                self._state.key_shards = change.file.key_shards

    def _note_time(self, publish: Publish, time_ms: int) -> None:
        services = self._state.services
        for change in publish.changes:
            entry = services.get(change.service)
            if entry is not None and entry.time_ms < time_ms:
                services[change.service] = msgspec.structs.replace(entry, time_ms=time_ms)

    def _put(self, service: ServiceName, entry: ServiceEntry) -> None:
        self._state.services[service] = entry
        if entry.file is None:
            self._withdrawn.add(service)
        else:
            self._withdrawn.discard(service)

    def _is_repeat(self, body: Publish) -> bool:
        entries = [self._state.services.get(c.service) for c in body.changes]
        return bool(entries) and all(e and e.publish_id == body.publish_id for e in entries)

    def _find_malformed(self, publish: Publish) -> str:
        names = [c.service for c in publish.changes]
        if not names or len(set(names)) != len(names):
            return "a publish names each of its services once"
        for change in publish.changes:
            problem = self._find_bad_change(change)
            if problem:
                return problem
        return ""

    def _find_bad_change(self, change: ServiceChange) -> str:
        file = change.file
        if file is None:
            return ""
        if file.service != change.service:
            return f"the file of {change.service} is of {file.service}"
        if isinstance(file, Site) != (change.service == SITE_NAME):
            return f"the name {SITE_NAME} is for the site file alone"
        fixed = self._state.key_shards
        if isinstance(file, Site) and fixed is not None and file.key_shards != fixed:
            return "key_shards can't be changed"
        return ""

    def _forget_expired(self) -> None:
        horizon = self.now_ms - TOMBSTONE_MS
        services = self._state.services
        for name in [n for n in self._withdrawn if services[n].time_ms < horizon]:
            del services[name]
            self._withdrawn.discard(name)

    def _index_state(self) -> None:
        self._withdrawn = {n for n, e in self._state.services.items() if e.file is None}
