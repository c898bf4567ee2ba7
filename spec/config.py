"""Specification of the configuration stream: racing publishes, hosts without disks, retention.

Two publishers change one service. Every publish may land late and twice. Hosts crash and start
again from the log, from a checkpoint in it, or from a peer. Old records expire.
"""

from functools import cache
from typing import NamedTuple

import minicheck

from spec.common import Spec

MAX_LOG = 5
PUBLISHERS = 2
CHECKPOINTS = 1
COPIES = 2
HOSTS = 2

IDLE, SENT, WON, LOST = range(4)


class Record(NamedTuple):
    """A publish, or a checkpoint of the state `changed` after the record at `covers`."""

    kind: str
    publisher: int = -1
    seen: int = -1
    covers: int = -1
    changed: int = -1


class Host(NamedTuple):
    """One host: `changed` is its view of the service's last change, `high` its highest offset."""

    known: bool = False
    applied: int = -1
    changed: int = -1
    high: int = -1


class State(NamedTuple):
    """The log from offset `first`, records on their way with copies left, publishers, hosts."""

    log: tuple
    first: int
    flights: tuple
    publishers: tuple
    hosts: tuple


@cache
def fold(log: tuple, broken: str | None = None) -> tuple[int, tuple[bool, ...]]:
    """Return the offset of the last accepted change, and which records were accepted."""
    if not log:
        return -1, ()
    changed, accepted = fold(log[:-1], broken)
    record = log[-1]
    if record.kind == "publish" and (record.seen == changed or broken == "no compare"):
        return len(log) - 1, (*accepted, True)
    return changed, (*accepted, False)


def find_start(state: State) -> Record | None:
    """Return the newest checkpoint whose following records are all kept."""
    kept = [r for n, r in enumerate(state.log) if r.kind == "checkpoint" and n >= state.first]
    usable = [r for r in kept if r.covers + 1 >= state.first]
    return max(usable, key=lambda r: r.covers, default=None)


def is_startable(state: State) -> bool:
    """Return whether a host without any state can start from the log."""
    return state.first == 0 or find_start(state) is not None


class _Steps:
    def __init__(self, state: State, broken: str | None):
        self.state = state
        self.broken = broken
        self.found: list[tuple[str, State]] = []

    def all(self) -> list[tuple[str, State]]:
        self._land()
        self._expire()
        for i, publisher in enumerate(self.state.publishers):
            self._publish(i, *publisher)
        for i, host in enumerate(self.state.hosts):
            self._host_steps(i, host)
        return self.found

    def _add(self, label: str, state: State) -> None:
        self.found.append((label, state))

    def _land(self) -> None:
        state = self.state
        for place, (record, copies) in enumerate(state.flights):
            if len(state.log) >= MAX_LOG:
                return
            rest = state.flights[:place] + state.flights[place + 1 :]
            if copies > 1:
                rest = tuple(sorted((*rest, (record, copies - 1))))
            landed = state._replace(log=(*state.log, record), flights=rest)
            self._add(f"land {record.kind}", landed)

    def _expire(self) -> None:
        state = self.state
        shorter = state._replace(first=state.first + 1)
        if state.first < len(state.log) and (
            is_startable(shorter) or self.broken in ("checkpoint too late", "unknown is empty")
        ):
            self._add("expire", shorter)

    def _publish(self, i: int, phase: int, seen: int) -> None:
        if phase == IDLE:
            for view in {h.changed for h in self.state.hosts if h.known}:
                record = Record("publish", i, view)
                flights = tuple(sorted((*self.state.flights, (record, COPIES))))
                self._set_publisher(f"publish {i}", i, (SENT, view), flights)
        if phase != SENT:
            return
        if self.broken == "silence is a loss":
            self._set_publisher(f"settle {i}", i, (LOST, seen), self.state.flights)
        accepted = fold(self.state.log, self.broken)[1]
        own = [n for n, r in enumerate(self.state.log) if r.publisher == i]
        if own:
            told = WON if accepted[own[0]] else LOST
            self._set_publisher(f"settle {i}", i, (told, seen), self.state.flights)

    def _set_publisher(self, label: str, i: int, publisher: tuple, flights: tuple) -> None:
        publishers = (*self.state.publishers[:i], publisher, *self.state.publishers[i + 1 :])
        self._add(label, self.state._replace(publishers=publishers, flights=flights))

    def _set_host(self, label: str, i: int, host: Host) -> None:
        hosts = (*self.state.hosts[:i], host, *self.state.hosts[i + 1 :])
        self._add(f"{label} {i}", self.state._replace(hosts=hosts))

    def _host_steps(self, i: int, host: Host) -> None:
        if not host.known:
            self._start(i)
        else:
            self._set_host("crash", i, Host())
            self._read(i, host)
            self._write_checkpoint(host)
        for peer in self.state.hosts:
            ahead = peer.applied > host.applied or self.broken == "older state from a peer"
            if peer.known and (ahead or not host.known):
                high = max(host.high, peer.applied)
                self._set_host("take over", i, peer._replace(high=high))

    def _start(self, i: int) -> None:
        start = find_start(self.state)
        if self.state.first == 0:
            self._set_host("start", i, Host(True))
        elif start is not None:
            self._restore(i, start)
        elif self.broken == "unknown is empty":
            applied = self.state.first - 1
            self._set_host("start empty", i, Host(True, applied, -1, applied))

    def _restore(self, i: int, start: Record) -> None:
        self._set_host("restore", i, Host(True, start.covers, start.changed, start.covers))

    def _read(self, i: int, host: Host) -> None:
        following = host.applied + 1
        if following >= self.state.first:
            self._apply(i, host, following)
            if self.broken == "relay with a gap":
                self._apply(i, host, following + 1)
            return
        start = find_start(self.state)
        if start is not None and start.covers > host.applied:
            self._restore(i, start)

    def _apply(self, i: int, host: Host, offset: int) -> None:
        if offset >= len(self.state.log):
            return
        record, changed = self.state.log[offset], host.changed
        if record.kind == "publish" and (record.seen == changed or self.broken == "no compare"):
            changed = offset
        self._set_host("read", i, Host(True, offset, changed, max(host.high, offset)))

    def _write_checkpoint(self, host: Host) -> None:
        written = sum(r.kind == "checkpoint" for r in self.state.log)
        if host.applied < 0 or written >= CHECKPOINTS or len(self.state.log) >= MAX_LOG:
            return
        record = Record("checkpoint", covers=host.applied, changed=host.changed)
        self._add("checkpoint", self.state._replace(log=(*self.state.log, record)))


def build(broken: str | None = None) -> minicheck.Protocol:
    """Return the model, or the variant of it that `broken` names."""

    def views_agree(d: dict) -> bool:
        known = [h for h in d["hosts"] if h.known]
        return all(h.changed == fold(d["log"][: h.applied + 1], broken)[0] for h in known)

    def nothing_is_overwritten(d: dict) -> bool:
        accepted = fold(d["log"], broken)[1]
        changes = [(n, r.seen) for n, r in enumerate(d["log"]) if accepted[n]]
        before = [-1, *(n for n, _ in changes)]
        return all(seen == last for (_, seen), last in zip(changes, before, strict=False))

    def told_is_true(d: dict) -> bool:
        accepted = fold(d["log"], broken)[1]
        won = {r.publisher for n, r in enumerate(d["log"]) if accepted[n]}
        phases = enumerate(p[0] for p in d["publishers"])
        return all((i in won) == (phase == WON) for i, phase in phases if phase in (WON, LOST))

    return minicheck.Protocol(
        name="config",
        candidate=False,
        fields=State._fields,
        initial=State((), 0, (), ((IDLE, -1),) * PUBLISHERS, (Host(),) * HOSTS),
        transitions=lambda state: _Steps(State(*state), broken).all(),
        invariants={
            "one view at one offset": views_agree,
            "nothing is overwritten": nothing_is_overwritten,
            "publishers are told the truth": told_is_true,
            "applied never goes down": lambda d: all(h.applied >= h.high for h in d["hosts"]),
            "a host can start": lambda d: is_startable(State(**d)),
        },
    )


SPECS = [
    Spec(
        "configuration",
        build,
        {
            "no compare": "nothing is overwritten",
            "silence is a loss": "publishers are told the truth",
            "unknown is empty": "one view at one offset",
            "relay with a gap": "one view at one offset",
            "older state from a peer": "applied never goes down",
            "checkpoint too late": "a host can start",
        },
    )
]
