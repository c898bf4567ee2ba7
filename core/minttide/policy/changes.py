"""Orders the way from one plan to the next: service goes on, and power never passes the cap.

Each step is a whole plan that can be appended to the placement stream once the step before it was
carried out. Power is lowered, read back, and only then raised.
"""

from collections.abc import Mapping, Sequence
from enum import Enum

import msgspec

from minttide.ids import UpstreamId
from minttide.records import Assignment

RETIRED_SHARE = 0.125
"""Share of a service's standing chains that may be out at the same time; at least one chain."""


class Wait(Enum):
    """What has to be true before the next step."""

    CONFIRMED = "confirmed"  # every engine was read back with the step's power
    DRAINED = "drained"  # the retired chains carry no stream any more
    LOADED = "loaded"  # every engine holds the step's layers


class PlanStep(msgspec.Struct, frozen=True):
    """A whole plan on the way, what to wait for after it, and why it is there.

    An engine whose assignment has layers but no chain name is being retired or loaded: it takes no
    new requests, and streams that run on it go on.
    """

    assignments: tuple[Assignment, ...]
    wait: Wait
    reason: str

    @property
    def watts(self) -> int:
        """Return the power that the step's engines may draw."""
        return sum(a.watts for a in self.assignments)


def order_changes(
    previous: Sequence[Assignment], wanted: Sequence[Assignment], cap_watts: int
) -> list[PlanStep]:
    """Return the steps from `previous` to `wanted`; the last one is `wanted` itself.

    Chains that stand in both are left alone. Others are replaced a few at a time: retired, drained,
    loaded, then taken into use.
    """
    return _Walk(previous, wanted, cap_watts).steps()


class _Walk:
    def __init__(
        self, previous: Sequence[Assignment], wanted: Sequence[Assignment], cap_watts: int
    ):
        self._now: dict[UpstreamId, Assignment] = {a.engine: a for a in previous}
        self._wanted = {a.engine: a for a in wanted}
        self._cap = cap_watts
        self._steps: list[PlanStep] = []

    def steps(self) -> list[PlanStep]:
        self._lower_all_idle()
        self._add_new_engines()
        for batch in self._batches():
            self._replace(batch)
        self._settle()
        return self._steps

    def _emit(self, changes: Mapping[UpstreamId, Assignment], wait: Wait, reason: str) -> None:
        changed = {e: a for e, a in changes.items() if self._now.get(e) != a}
        if not changed:
            return
        self._now.update(changed)
        plan = tuple(self._now[e] for e in sorted(self._now))
        self._steps.append(PlanStep(plan, wait, reason))

    def _lower_all_idle(self) -> None:
        """Lower engines that carry no chain; this takes nothing from the service."""
        lowered = {
            e: msgspec.structs.replace(a, watts=min(a.watts, self._wanted[e].watts))
            for e, a in self._now.items()
            if not a.chain and e in self._wanted
        }
        self._emit(lowered, Wait.CONFIRMED, "lower idle engines")

    def _add_new_engines(self) -> None:
        new = [a for e, a in sorted(self._wanted.items()) if e not in self._now]
        if not new:
            return
        if self._watts() + sum(a.watts for a in new) > self._cap:
            self._lower_to_wanted("make room for new engines")
        added = {a.engine: msgspec.structs.replace(a, chain="") for a in new}
        self._emit(added, Wait.LOADED, "load new engines")

    def _watts(self) -> int:
        return sum(a.watts for a in self._now.values())

    def _chain_members(self) -> dict[str, list[Assignment]]:
        found: dict[str, list[Assignment]] = {}
        for assignment in self._wanted.values():
            if assignment.chain:
                found.setdefault(assignment.chain, []).append(assignment)
        standing = {a.chain for a in self._now.values()}
        return {name: m for name, m in found.items() if name not in standing}

    def _displaced(self, members: Sequence[Assignment]) -> set[str]:
        now = (self._now.get(a.engine) for a in members)
        return {a.chain for a in now if a is not None and a.chain}

    def _batches(self) -> list[list[list[Assignment]]]:
        """Return the new chains in batches, those that displace nothing first."""
        chains = self._chain_members()
        order = sorted(chains, key=lambda n: (len(self._displaced(chains[n])), n))
        free = [chains[n] for n in order if not self._displaced(chains[n])]
        batches = [free] if free else []
        standing = len({a.chain for a in self._now.values() if a.chain})
        most = max(1, int(standing * RETIRED_SHARE))
        out: set[str] = set()
        batch: list[list[Assignment]] = []
        for name in order:
            displaced = self._displaced(chains[name])
            if not displaced:
                continue
            if batch and len(out | displaced) > most:
                batches.append(batch)
                batch, out = [], set()
            batch.append(chains[name])
            out |= displaced
        return [*batches, batch] if batch else batches

    def _replace(self, batch: Sequence[Sequence[Assignment]]) -> None:
        members = [a for chain in batch for a in chain]
        displaced = self._displaced(members)
        retired = {
            e: msgspec.structs.replace(a, chain="")
            for e, a in self._now.items()
            if a.chain in displaced
        }
        self._emit(retired, Wait.DRAINED, "retire " + ", ".join(sorted(displaced)))
        loading = {
            a.engine: msgspec.structs.replace(
                a, chain="", watts=min(a.watts, self._now[a.engine].watts)
            )
            for a in members
        }
        self._emit(loading, Wait.LOADED, "load " + ", ".join(sorted({a.chain for a in members})))
        self._emit(
            {a.engine: self._affordable(a, members) for a in members},
            Wait.CONFIRMED,
            "use " + ", ".join(sorted({a.chain for a in members})),
        )

    def _affordable(self, wanted: Assignment, members: Sequence[Assignment]) -> Assignment:
        """Return `wanted`, at its present power where the cap has no room for the whole batch."""
        added = sum(max(0, a.watts - self._now[a.engine].watts) for a in members)
        if self._watts() + added <= self._cap:
            return wanted
        watts = min(wanted.watts, self._now[wanted.engine].watts)
        return msgspec.structs.replace(wanted, watts=watts)

    def _lower_to_wanted(self, reason: str) -> None:
        lowered = {
            e: msgspec.structs.replace(a, watts=min(a.watts, self._wanted[e].watts))
            for e, a in self._now.items()
            if e in self._wanted
        }
        self._emit(lowered, Wait.CONFIRMED, reason)

    def _settle(self) -> None:
        """Retire chains that are no longer wanted, lower, then go over to the wanted plan."""
        wanted_chains = {a.chain for a in self._wanted.values()}
        leaving = {
            e: msgspec.structs.replace(a, chain="")
            for e, a in self._now.items()
            if a.chain and a.chain not in wanted_chains
        }
        self._emit(leaving, Wait.DRAINED, "retire chains that are no longer wanted")
        self._lower_to_wanted("lower before raising")
        self._leave_out_removed()
        self._emit(self._wanted, Wait.CONFIRMED, "the wanted plan")

    def _leave_out_removed(self) -> None:
        """Drop engines that the service files no longer name; their power is free from then on."""
        removed = set(self._now) - set(self._wanted)
        if not removed:
            return
        for engine in removed:
            del self._now[engine]
        plan = tuple(self._now[e] for e in sorted(self._now))
        self._steps.append(PlanStep(plan, Wait.CONFIRMED, "leave out removed engines"))
