"""Specification of the lease: two hosts with drifting clocks never hold it at the same time.

Each host counts ticks on its own clock, which may slip by one tick in either direction. Requests to
acquire or renew the lease may be appended late; each names the last change that its writer had
read. A pause of a host is an interleaving in which it takes no step while ticks pass.
"""

from typing import NamedTuple

import minicheck

from spec.common import Spec

LEASE_TICKS = 3
HOLDER_TICKS = LEASE_TICKS - 1  # for the holder, which allows for drift
CHALLENGER_TICKS = LEASE_TICKS + 1  # wait of a challenger, which allows for drift
MAX_CHANGES = 3
MAX_CLOCK_SLIPS = 1
HOSTS = 2
NO_REQUEST = -1


class Host(NamedTuple):
    """One host: changes read, ticks left to hold and to wait for the lease, clock slips left.

    `pending_hold` is the ticks left to hold the lease if the open request is accepted, or
    `NO_REQUEST`.
    """

    read: int = 0
    hold: int = 0
    wait: int = CHALLENGER_TICKS
    pending_hold: int = NO_REQUEST
    slips_left: int = MAX_CLOCK_SLIPS


class State(NamedTuple):
    """The owner after each change, requests in flight as (host, changes read), and the hosts."""

    owners: tuple
    in_flight: frozenset
    hosts: tuple


def is_owner(owners: tuple, host: Host, i: int) -> bool:
    """Return whether host `i` owns the lease, as far as it has read the log."""
    return host.read > 0 and owners[host.read - 1] == i


def _advance_clock(host: Host, ticks: int) -> Host:
    pending_hold = (
        host.pending_hold if host.pending_hold == NO_REQUEST else max(0, host.pending_hold - ticks)
    )
    return host._replace(
        hold=max(0, host.hold - ticks), wait=max(0, host.wait - ticks), pending_hold=pending_hold
    )


class _Steps:
    def __init__(self, state: State, variant: str | None):
        self.state = state
        self.variant = variant
        self.found: list[tuple[str, State]] = []

    def all(self) -> list[tuple[str, State]]:
        self._tick()
        for i, seen in self.state.in_flight:
            self._append_request(i, seen)
        for i, host in enumerate(self.state.hosts):
            self._request_lease(i, host)
            self._read_next_change(i, host)
        return self.found

    def _tick(self) -> None:
        advanced = tuple(_advance_clock(h, 1) for h in self.state.hosts)
        self.found.append(("tick", self.state._replace(hosts=advanced)))
        for i, host in enumerate(self.state.hosts):
            for ticks in (0, 2) if host.slips_left else ():
                slipped = _advance_clock(host, ticks)._replace(slips_left=host.slips_left - 1)
                hosts = (*advanced[:i], slipped, *advanced[i + 1 :])
                self.found.append((f"tick, slip {i}", self.state._replace(hosts=hosts)))

    def _append_request(self, i: int, seen: int) -> None:
        owners = self.state.owners
        if seen == len(owners) < MAX_CHANGES:
            # Requests that name an older change can no longer be accepted.
            appended = self.state._replace(owners=(*owners, i), in_flight=frozenset())
            self.found.append((f"append {i}", appended))

    def _set_host(self, label: str, i: int, host: Host, state: State) -> None:
        hosts = (*state.hosts[:i], host, *state.hosts[i + 1 :])
        self.found.append((f"{label} {i}", state._replace(hosts=hosts)))

    def _request_lease(self, i: int, host: Host) -> None:
        may_acquire = host.wait == 0 or self.variant == "acquire without waiting"
        if not may_acquire and not is_owner(self.state.owners, host, i):
            return
        pending_hold = HOLDER_TICKS if host.pending_hold == NO_REQUEST else host.pending_hold
        in_flight = self.state.in_flight
        if host.read == len(self.state.owners):
            in_flight |= {(i, host.read)}
        self._set_host(
            "request",
            i,
            host._replace(pending_hold=pending_hold),
            self.state._replace(in_flight=in_flight),
        )

    def _read_next_change(self, i: int, host: Host) -> None:
        if host.read == len(self.state.owners):
            return
        is_own = self.state.owners[host.read] == i
        hold = host.hold if is_own else 0
        if is_own and host.pending_hold != NO_REQUEST:
            hold = HOLDER_TICKS if self.variant == "count from the response" else host.pending_hold
        wait = LEASE_TICKS if self.variant == "no margin" else CHALLENGER_TICKS
        after = Host(host.read + 1, hold, wait, NO_REQUEST, host.slips_left)
        self._set_host("read", i, after, self.state)


def build(variant: str | None = None) -> minicheck.Protocol:
    """Return the model, or its broken variant `variant` if one is given."""

    def one_holder(d: dict) -> bool:
        holding = [h.hold > 0 and is_owner(d["owners"], h, i) for i, h in enumerate(d["hosts"])]
        return sum(holding) <= 1

    return minicheck.Protocol(
        name="lease",
        candidate=False,
        fields=State._fields,
        initial=State((), frozenset(), (Host(),) * HOSTS),
        transitions=lambda state: _Steps(State(*state), variant).all(),
        invariants={"one holder at a time": one_holder},
    )


SPECS = [
    Spec(
        "lease",
        build,
        dict.fromkeys(
            ["count from the response", "no margin", "acquire without waiting"],
            "one holder at a time",
        ),
    )
]
