"""Specification of a limit on retries that hosts share: no window exceeds the slack.

Each host divides the slack by the hosts that it counts, and keeps count of its own retries in the
window. Hosts restart at any time, and forget their count; they may lose each other, and then find
only themselves. Time passes in ticks. The credit that a host earns by its own requests is left out:
a process starts without it, and it is added to the limit.
"""

from typing import NamedTuple

import minicheck

from spec.common import Spec

HOSTS = 2
SLACK = 4
WINDOW = 3
"""Length of a window in ticks."""

MAX_TICKS = 7
MAX_RESTARTS = 3


class Host(NamedTuple):
    """One process: its age in ticks, its own retries by tick, the latest first, and its count.

    `counted` is the largest number of hosts that it has found, and `up` the number it finds now.
    """

    age: int
    retries: tuple[int, ...]
    counted: int
    up: int


class State(NamedTuple):
    """The hosts, the retries of all processes by tick, the latest first, and what has happened."""

    hosts: tuple[Host, ...]
    retries: tuple[int, ...]
    ticks: int
    restarts: int
    separated: bool


NEVER = -MAX_TICKS
"""Age of a process that doesn't get a part within the ticks of the model."""

NO_RETRIES = (0,) * WINDOW
OLD = Host(WINDOW, NO_RETRIES, HOSTS, HOSTS)


class _Steps:
    def __init__(self, state: State, variant: str | None):
        self.state = state
        self.variant = variant

    def all(self) -> list[tuple[str, State]]:
        steps = [self._retry(i) for i in range(HOSTS) if self._part_left(self.state.hosts[i]) >= 1]
        if self.state.restarts < MAX_RESTARTS:
            steps += [self._restart(i) for i in range(HOSTS)]
        if not self.state.separated:
            steps.append(self._separate())
        if self.state.ticks < MAX_TICKS:
            steps.append(self._tick())
        return steps

    def _part_left(self, host: Host) -> int:
        """Return the retries that a host has left in this window."""
        if host.age < WINDOW and self.variant != "part at the start":
            return 0
        counted = host.up if self.variant == "hosts counted now" else host.counted
        spent = host.retries[:-1] if self.variant == "window too short" else host.retries
        return SLACK // counted - sum(spent)

    def _retry(self, index: int) -> tuple[str, State]:
        host = self.state.hosts[index]
        after = host._replace(retries=_add_one(host.retries))
        state = self._replace_host(index, after)
        return f"host {index} retries", state._replace(retries=_add_one(state.retries))

    def _restart(self, index: int) -> tuple[str, State]:
        """Start a new process. If it finds no other host, it never has a part."""
        found, age = (1, NEVER) if self.state.separated else (HOSTS, 0)
        state = self._replace_host(index, Host(age, NO_RETRIES, found, found))
        return f"host {index} restarts", state._replace(restarts=self.state.restarts + 1)

    def _separate(self) -> tuple[str, State]:
        hosts = tuple(host._replace(up=1) for host in self.state.hosts)
        return "hosts lose each other", self.state._replace(hosts=hosts, separated=True)

    def _tick(self) -> tuple[str, State]:
        state = self.state
        hosts = tuple(
            host._replace(age=min(WINDOW, host.age + 1), retries=_shift(host.retries))
            for host in state.hosts
        )
        after = state._replace(hosts=hosts, retries=_shift(state.retries), ticks=state.ticks + 1)
        return "time passes", after

    def _replace_host(self, index: int, host: Host) -> State:
        hosts = self.state.hosts
        return self.state._replace(hosts=(*hosts[:index], host, *hosts[index + 1 :]))


def _add_one(retries: tuple[int, ...]) -> tuple[int, ...]:
    return (retries[0] + 1, *retries[1:])


def _shift(retries: tuple[int, ...]) -> tuple[int, ...]:
    return (0, *retries[:-1])


def build(variant: str | None = None) -> minicheck.Protocol:
    """Return the model, or its broken variant `variant` if one is given."""
    return minicheck.Protocol(
        name="retry parts",
        candidate=False,
        fields=State._fields,
        initial=State((OLD,) * HOSTS, NO_RETRIES, 0, 0, False),
        transitions=lambda state: _Steps(State(*state), variant).all(),
        invariants={"no window exceeds the slack": lambda d: sum(d["retries"]) <= SLACK},
    )


SPECS = [
    Spec(
        "retry parts",
        build,
        dict.fromkeys(
            ["part at the start", "hosts counted now", "window too short"],
            "no window exceeds the slack",
        ),
    )
]
