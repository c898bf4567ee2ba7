"""Specification of the configuration stream: concurrent publishes, diskless hosts, retention.

Two publishers change one service. Every publish may be appended late and twice. Hosts crash and
recover their state from the log, from a checkpoint in it, or from a peer. Old records expire.
"""

from functools import cache
from typing import NamedTuple

import minicheck

from spec.common import Spec

MAX_LOG = 5
PUBLISHERS = 2
MAX_CHECKPOINTS = 1
MAX_COPIES = 2
HOSTS = 2

IDLE, SENT, ACCEPTED, REJECTED = range(4)


class Record(NamedTuple):
    """A publish, or a checkpoint that holds the state after the record at offset `covers`.

    `seen` is the last change that the publisher had read.
    """

    kind: str
    publisher: int = -1
    seen: int = -1
    covers: int = -1
    last_change: int = -1


class Host(NamedTuple):
    """One host: the offsets that it has applied, and the service's last change in its state."""

    synced: bool = False
    applied: int = -1
    last_change: int = -1
    max_applied: int = -1


class State(NamedTuple):
    """The log and its first retained offset, records in flight, publishers and hosts.

    `in_flight` holds pairs of a record and the number of copies that may still be appended.
    A publisher is its phase and the change that it saw."""

    log: tuple
    first_offset: int
    in_flight: tuple
    publishers: tuple
    hosts: tuple


@cache
def fold(log: tuple, variant: str | None = None) -> tuple[int, tuple[bool, ...]]:
    """Return the offset of the last accepted change, and which records were accepted."""
    if not log:
        return -1, ()
    last_change, accepted = fold(log[:-1], variant)
    record = log[-1]
    if record.kind == "publish" and (record.seen == last_change or variant == "no compare-and-set"):
        return len(log) - 1, (*accepted, True)
    return last_change, (*accepted, False)


def find_checkpoint(state: State) -> Record | None:
    """Return the newest retained checkpoint after which no record has expired."""
    retained = [
        r for n, r in enumerate(state.log) if r.kind == "checkpoint" and n >= state.first_offset
    ]
    usable = [r for r in retained if r.covers + 1 >= state.first_offset]
    return max(usable, key=lambda r: r.covers, default=None)


def can_sync(state: State) -> bool:
    """Return whether a host without state can sync from the log alone."""
    return state.first_offset == 0 or find_checkpoint(state) is not None


class _Steps:
    def __init__(self, state: State, variant: str | None):
        self.state = state
        self.variant = variant
        self.found: list[tuple[str, State]] = []

    def all(self) -> list[tuple[str, State]]:
        self._append_in_flight()
        self._expire()
        for i, publisher in enumerate(self.state.publishers):
            self._publish(i, *publisher)
        for i, host in enumerate(self.state.hosts):
            self._host_steps(i, host)
        return self.found

    def _add(self, label: str, state: State) -> None:
        self.found.append((label, state))

    def _append_in_flight(self) -> None:
        state = self.state
        for index, (record, copies) in enumerate(state.in_flight):
            if len(state.log) >= MAX_LOG:
                return
            others = state.in_flight[:index] + state.in_flight[index + 1 :]
            if copies > 1:
                others = tuple(sorted((*others, (record, copies - 1))))
            appended = state._replace(log=(*state.log, record), in_flight=others)
            self._add(f"append {record.kind}", appended)

    def _expire(self) -> None:
        state = self.state
        shorter = state._replace(first_offset=state.first_offset + 1)
        if state.first_offset < len(state.log) and (
            can_sync(shorter)
            or self.variant in ("expiry before checkpoint", "unsynced means empty")
        ):
            self._add("expire", shorter)

    def _publish(self, i: int, phase: int, seen: int) -> None:
        if phase == IDLE:
            for seen_change in {h.last_change for h in self.state.hosts if h.synced}:
                record = Record("publish", i, seen_change)
                in_flight = tuple(sorted((*self.state.in_flight, (record, MAX_COPIES))))
                self._set_publisher(f"publish {i}", i, (SENT, seen_change), in_flight)
        if phase != SENT:
            return
        if self.variant == "timeout means rejected":
            self._set_publisher(f"resolve {i}", i, (REJECTED, seen), self.state.in_flight)
        accepted = fold(self.state.log, self.variant)[1]
        own = [n for n, r in enumerate(self.state.log) if r.publisher == i]
        if own:
            outcome = ACCEPTED if accepted[own[0]] else REJECTED
            self._set_publisher(f"resolve {i}", i, (outcome, seen), self.state.in_flight)

    def _set_publisher(self, label: str, i: int, publisher: tuple, in_flight: tuple) -> None:
        publishers = (*self.state.publishers[:i], publisher, *self.state.publishers[i + 1 :])
        self._add(label, self.state._replace(publishers=publishers, in_flight=in_flight))

    def _set_host(self, label: str, i: int, host: Host) -> None:
        hosts = (*self.state.hosts[:i], host, *self.state.hosts[i + 1 :])
        self._add(f"{label} {i}", self.state._replace(hosts=hosts))

    def _host_steps(self, i: int, host: Host) -> None:
        if not host.synced:
            self._sync(i)
        else:
            self._set_host("crash", i, Host())
            self._read(i, host)
            self._write_checkpoint(host)
        for peer in self.state.hosts:
            usable = peer.applied > host.applied or self.variant == "older snapshot from peer"
            if peer.synced and (usable or not host.synced):
                max_applied = max(host.max_applied, peer.applied)
                self._set_host("copy from peer", i, peer._replace(max_applied=max_applied))

    def _sync(self, i: int) -> None:
        checkpoint = find_checkpoint(self.state)
        if self.state.first_offset == 0:
            self._set_host("read from 0", i, Host(True))
        elif checkpoint is not None:
            self._restore(i, checkpoint)
        elif self.variant == "unsynced means empty":
            applied = self.state.first_offset - 1
            self._set_host("start unsynced", i, Host(True, applied, -1, applied))

    def _restore(self, i: int, checkpoint: Record) -> None:
        self._set_host(
            "restore", i, Host(True, checkpoint.covers, checkpoint.last_change, checkpoint.covers)
        )

    def _read(self, i: int, host: Host) -> None:
        next_offset = host.applied + 1
        if next_offset >= self.state.first_offset:
            self._apply(i, host, next_offset)
            if self.variant == "gap in relayed records":
                self._apply(i, host, next_offset + 1)
            return
        checkpoint = find_checkpoint(self.state)
        if checkpoint is not None and checkpoint.covers > host.applied:
            self._restore(i, checkpoint)

    def _apply(self, i: int, host: Host, offset: int) -> None:
        if offset >= len(self.state.log):
            return
        record, last_change = self.state.log[offset], host.last_change
        if record.kind == "publish" and (
            record.seen == last_change or self.variant == "no compare-and-set"
        ):
            last_change = offset
        self._set_host("read", i, Host(True, offset, last_change, max(host.max_applied, offset)))

    def _write_checkpoint(self, host: Host) -> None:
        written = sum(r.kind == "checkpoint" for r in self.state.log)
        if host.applied < 0 or written >= MAX_CHECKPOINTS or len(self.state.log) >= MAX_LOG:
            return
        record = Record("checkpoint", covers=host.applied, last_change=host.last_change)
        self._add("checkpoint", self.state._replace(log=(*self.state.log, record)))


def build(variant: str | None = None) -> minicheck.Protocol:
    """Return the model, or its broken variant `variant` if one is given."""

    def states_agree(d: dict) -> bool:
        synced = [h for h in d["hosts"] if h.synced]
        return all(h.last_change == fold(d["log"][: h.applied + 1], variant)[0] for h in synced)

    def no_lost_updates(d: dict) -> bool:
        accepted = fold(d["log"], variant)[1]
        changes = [(n, r.seen) for n, r in enumerate(d["log"]) if accepted[n]]
        previous = [-1, *(n for n, _ in changes)]
        return all(seen == last for (_, seen), last in zip(changes, previous, strict=False))

    def outcomes_are_correct(d: dict) -> bool:
        accepted = fold(d["log"], variant)[1]
        accepted_publishers = {r.publisher for n, r in enumerate(d["log"]) if accepted[n]}
        phases = enumerate(p[0] for p in d["publishers"])
        return all(
            (i in accepted_publishers) == (phase == ACCEPTED)
            for i, phase in phases
            if phase in (ACCEPTED, REJECTED)
        )

    return minicheck.Protocol(
        name="config",
        candidate=False,
        fields=State._fields,
        initial=State((), 0, (), ((IDLE, -1),) * PUBLISHERS, (Host(),) * HOSTS),
        transitions=lambda state: _Steps(State(*state), variant).all(),
        invariants={
            "same state at same offset": states_agree,
            "no lost updates": no_lost_updates,
            "publish outcome is correct": outcomes_are_correct,
            "applied offset is monotonic": lambda d: all(
                h.applied >= h.max_applied for h in d["hosts"]
            ),
            "a new host can sync": lambda d: can_sync(State(**d)),
        },
    )


SPECS = [
    Spec(
        "configuration",
        build,
        {
            "no compare-and-set": "no lost updates",
            "timeout means rejected": "publish outcome is correct",
            "unsynced means empty": "same state at same offset",
            "gap in relayed records": "same state at same offset",
            "older snapshot from peer": "applied offset is monotonic",
            "expiry before checkpoint": "a new host can sync",
        },
    )
]
