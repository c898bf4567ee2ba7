"""The fold of the configuration stream: each publish is accepted or rejected as a whole.

A publish is accepted if none of its services has changed since the operator read it.
"""

import msgspec

from minttide.config.service import SITE_NAME, ModelService, PlainService, ServiceFile, Site
from minttide.folds.fold import BaseState, ChangeResult, Decision, StreamFold, make_result
from minttide.ids import NO_OFFSET, Offset, PublishId, ServiceName
from minttide.records import Envelope, Publish, ServiceChange

MAX_PUBLISH_AGE_MS = 10 * 60 * 1000
"""Age against the fold's time above which a publish is rejected as a late copy."""

TOMBSTONE_TTL_MS = 60 * 60 * 1000
"""How long the entry of a withdrawn service is kept; more than a publish's largest age."""


class ServiceEntry(msgspec.Struct, frozen=True):
    """The last change of one service. `file` is None if the service was withdrawn.

    `time_ms` is the latest time of any publish, accepted or not, that named the service, so that
    every copy of such a publish is too old by the time the entry is removed.
    """

    changed: Offset
    publish_id: PublishId
    time_ms: int
    file: ServiceFile | None


class _State(BaseState):
    services: dict[ServiceName, ServiceEntry] = {}
    key_shards: int | None = None  # from the first accepted site file; can't change afterwards


class ConfigFold(StreamFold[_State]):
    """The configuration in force after the records folded so far."""

    def __init__(self) -> None:
        super().__init__(_State)
        self._withdrawn: set[ServiceName] = set()

    @property
    def entries(self) -> dict[ServiceName, ServiceEntry]:
        """Return the entries of all services, including withdrawn ones."""
        return self._state.services

    @property
    def files(self) -> dict[ServiceName, ServiceFile]:
        """Return the files in force by service name."""
        return {n: e.file for n, e in self._state.services.items() if e.file is not None}

    @property
    def site(self) -> Site | None:
        """Return the site file in force, or None."""
        file = self.find(SITE_NAME)
        return file if isinstance(file, Site) else None

    def find(self, service: ServiceName) -> ServiceFile | None:
        """Return the file of a service in force, or None."""
        entry = self._state.services.get(service)
        return entry.file if entry else None

    def model(self, service: ServiceName) -> ModelService | None:
        """Return the file of a model service in force, or None."""
        file = self.find(service)
        return file if isinstance(file, ModelService) else None

    def plain(self, service: ServiceName) -> PlainService | None:
        """Return the file of a plain service in force, or None."""
        file = self.find(service)
        return file if isinstance(file, PlainService) else None

    def changed(self, service: ServiceName) -> Offset:
        """Return the offset of a service's last change, or -1."""
        entry = self._state.services.get(service)
        return entry.changed if entry else NO_OFFSET

    def _decide_record(self, offset: Offset, envelope: Envelope) -> list[ChangeResult]:
        decision, detail = self._decide(offset, envelope)
        return [make_result(offset, envelope, decision, detail)]

    def _decide(self, offset: Offset, envelope: Envelope) -> tuple[Decision, str]:
        body = envelope.body
        if not isinstance(body, Publish):
            return Decision.FOREIGN, type(body).__name__
        if envelope.time_ms < self.now_ms - MAX_PUBLISH_AGE_MS:
            return Decision.TOO_OLD, "written too long ago"
        if self._is_repeat(body):
            return Decision.REPEATED, "this publish was already accepted"
        malformed = self._find_malformed(body)
        if malformed:
            return Decision.MALFORMED, malformed
        self._update_times(body, envelope.time_ms)
        stale = [c.service for c in body.changes if c.seen != self.changed(c.service)]
        if stale:
            return Decision.STALE, "changed by another publish: " + ", ".join(sorted(stale))
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

    def _update_times(self, publish: Publish, time_ms: int) -> None:
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
            return "a publish must change at least one service, and each service only once"
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
            return f"the file published for {change.service} is of service {file.service}"
        if isinstance(file, Site) != (change.service == SITE_NAME):
            return f"the name {SITE_NAME} is reserved for the site file"
        key_shards = self._state.key_shards
        if isinstance(file, Site) and key_shards is not None and file.key_shards != key_shards:
            return "key_shards can't be changed"
        return ""

    def _drop_expired(self) -> None:
        oldest_ms = self.now_ms - TOMBSTONE_TTL_MS
        services = self._state.services
        for name in [n for n in self._withdrawn if services[n].time_ms < oldest_ms]:
            del services[name]
            self._withdrawn.discard(name)

    def _rebuild_indexes(self) -> None:
        self._withdrawn = {n for n, e in self._state.services.items() if e.file is None}
