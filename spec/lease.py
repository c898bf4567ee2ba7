"""Specification of the lease: two hosts with clocks that drift never hold it at the same time.

Each host counts on its own clock, which may slip one tick in either direction. Takes and renewals
land late; each names the last change that its writer had read. A pause is a stretch in which a
host takes no step while ticks go on.
"""

from typing import NamedTuple

import minicheck

from spec.common import Spec

DURATION = 3
HOLD = DURATION - 1  # the holder's own count, less the drift
WAIT = DURATION + 1  # the challengers' count, with the margin
MAX_CHANGES = 3
SLIPS = 1
HOSTS = 2
NOT_ASKED = -1


class Host(NamedTuple):
    """One host: changes read, ticks left of its hold, wait and request, slips left."""

    read: int = 0
    hold: int = 0
    wait: int = WAIT
    asked: int = NOT_ASKED
    slips: int = SLIPS


class State(NamedTuple):
    """The owners after each change, requests on their way (host, seen), and the hosts."""

    owners: tuple
    flights: frozenset
    hosts: tuple


def owns(owners: tuple, host: Host, i: int) -> bool:
    """Return whether the log, as far as it was read, names host `i`."""
    return host.read > 0 and owners[host.read - 1] == i


def _advance(host: Host, ticks: int) -> Host:
    asked = host.asked if host.asked == NOT_ASKED else max(0, host.asked - ticks)
    return host._replace(
        hold=max(0, host.hold - ticks), wait=max(0, host.wait - ticks), asked=asked
    )


class _Steps:
    def __init__(self, state: State, broken: str | None):
        self.state = state
        self.broken = broken
        self.found: list[tuple[str, State]] = []

    def all(self) -> list[tuple[str, State]]:
        self._tick()
        for i, seen in self.state.flights:
            self._land(i, seen)
        for i, host in enumerate(self.state.hosts):
            self._ask(i, host)
            self._read(i, host)
        return self.found

    def _tick(self) -> None:
        even = tuple(_advance(h, 1) for h in self.state.hosts)
        self.found.append(("tick", self.state._replace(hosts=even)))
        for i, host in enumerate(self.state.hosts):
            for ticks in (0, 2) if host.slips else ():
                slipped = _advance(host, ticks)._replace(slips=host.slips - 1)
                hosts = (*even[:i], slipped, *even[i + 1 :])
                self.found.append((f"tick, slip {i}", self.state._replace(hosts=hosts)))

    def _land(self, i: int, seen: int) -> None:
        owners = self.state.owners
        if seen == len(owners) < MAX_CHANGES:
            # What was asked on an older change can't be accepted any more.
            landed = self.state._replace(owners=(*owners, i), flights=frozenset())
            self.found.append((f"land {i}", landed))

    def _set(self, label: str, i: int, host: Host, state: State) -> None:
        hosts = (*state.hosts[:i], host, *state.hosts[i + 1 :])
        self.found.append((f"{label} {i}", state._replace(hosts=hosts)))

    def _ask(self, i: int, host: Host) -> None:
        may_take = host.wait == 0 or self.broken == "take without waiting"
        if not may_take and not owns(self.state.owners, host, i):
            return
        asked = HOLD if host.asked == NOT_ASKED else host.asked
        flights = self.state.flights
        if host.read == len(self.state.owners):
            flights |= {(i, host.read)}
        self._set("ask", i, host._replace(asked=asked), self.state._replace(flights=flights))

    def _read(self, i: int, host: Host) -> None:
        if host.read == len(self.state.owners):
            return
        own = self.state.owners[host.read] == i
        hold = host.hold if own else 0
        if own and host.asked != NOT_ASKED:
            hold = HOLD if self.broken == "count from the answer" else host.asked
        wait = DURATION if self.broken == "no margin" else WAIT
        after = Host(host.read + 1, hold, wait, NOT_ASKED, host.slips)
        self._set("read", i, after, self.state)


def build(broken: str | None = None) -> minicheck.Protocol:
    """Return the model, or the variant of it that `broken` names."""

    def one_holder(d: dict) -> bool:
        held = [h.hold > 0 and owns(d["owners"], h, i) for i, h in enumerate(d["hosts"])]
        return sum(held) <= 1

    return minicheck.Protocol(
        name="lease",
        candidate=False,
        fields=State._fields,
        initial=State((), frozenset(), (Host(),) * HOSTS),
        transitions=lambda state: _Steps(State(*state), broken).all(),
        invariants={"one holder at a time": one_holder},
    )


SPECS = [
    Spec(
        "lease",
        build,
        dict.fromkeys(
            ["count from the answer", "no margin", "take without waiting"], "one holder at a time"
        ),
    )
]
