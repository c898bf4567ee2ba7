"""Orders the way from one plan to the next: service goes on, and power never passes the cap.

Each step is a whole plan that can be appended to the placement stream once the step before it was
carried out. Power is lowered, read back, and only then raised.
"""

from collections.abc import Mapping, Sequence
from enum import Enum

import msgspec

from minttide.ids import UpstreamId
from minttide.records import Assignment

MAX_RETIRED_FRACTION = 0.125
"""Share of a service's standing chains that may be out at the same time; at least one chain."""


class StepCondition(Enum):
    """What has to be true before the next step."""

    CONFIRMED = "confirmed"  # every engine reports the step's power
    DRAINED = "drained"  # the retired chains have no streams left
    LOADED = "loaded"  # every engine holds the step's layers


class TransitionStep(msgspec.Struct, frozen=True):
    """A whole plan on the way, what to wait for after it, and why it is there.

    An engine whose assignment has layers but no chain name is being retired or loaded: it takes no
    new requests, and streams that run on it go on.
    """

    assignments: tuple[Assignment, ...]
    wait: StepCondition
    reason: str

    @property
    def watts(self) -> int:
        """Return the power that the step's engines may draw."""
        return sum(a.watts for a in self.assignments)


def order_changes(
    previous: Sequence[Assignment], target: Sequence[Assignment], cap_watts: int
) -> list[TransitionStep]:
    """Return the steps from `previous` to `target`; the last one is `target` itself.

    Chains that stand in both are left alone. Others are replaced a few at a time: retired, drained,
    loaded, then taken into use.
    """
    return _Transition(previous, target, cap_watts).steps()


class _Transition:
    def __init__(
        self, previous: Sequence[Assignment], target: Sequence[Assignment], cap_watts: int
    ):
        self._current: dict[UpstreamId, Assignment] = {a.engine: a for a in previous}
        self._target = {a.engine: a for a in target}
        self._cap_watts = cap_watts
        self._steps: list[TransitionStep] = []

    def steps(self) -> list[TransitionStep]:
        self._lower_idle_engines()
        self._add_new_engines()
        for batch in self._batches():
            self._replace(batch)
        self._finish()
        return self._steps

    def _add_step(
        self, changes: Mapping[UpstreamId, Assignment], wait: StepCondition, reason: str
    ) -> None:
        changed = {e: a for e, a in changes.items() if self._current.get(e) != a}
        if not changed:
            return
        self._current.update(changed)
        plan = tuple(self._current[e] for e in sorted(self._current))
        self._steps.append(TransitionStep(plan, wait, reason))

    def _lower_idle_engines(self) -> None:
        """Lower engines that carry no chain; this takes nothing from the service."""
        lowered = {
            e: msgspec.structs.replace(a, watts=min(a.watts, self._target[e].watts))
            for e, a in self._current.items()
            if not a.chain and e in self._target
        }
        self._add_step(lowered, StepCondition.CONFIRMED, "lower power of idle engines")

    def _add_new_engines(self) -> None:
        new = [a for e, a in sorted(self._target.items()) if e not in self._current]
        if not new:
            return
        if self._total_watts() + sum(a.watts for a in new) > self._cap_watts:
            self._lower_to_target("lower power for new engines")
        added = {a.engine: msgspec.structs.replace(a, chain="") for a in new}
        self._add_step(added, StepCondition.LOADED, "load new engines")

    def _total_watts(self) -> int:
        return sum(a.watts for a in self._current.values())

    def _new_chains(self) -> dict[str, list[Assignment]]:
        members_by_chain: dict[str, list[Assignment]] = {}
        for assignment in self._target.values():
            if assignment.chain:
                members_by_chain.setdefault(assignment.chain, []).append(assignment)
        active = {a.chain for a in self._current.values()}
        return {name: m for name, m in members_by_chain.items() if name not in active}

    def _displaced_chains(self, members: Sequence[Assignment]) -> set[str]:
        current = (self._current.get(a.engine) for a in members)
        return {a.chain for a in current if a is not None and a.chain}

    def _batches(self) -> list[list[list[Assignment]]]:
        """Return the new chains in batches, those that displace nothing first."""
        chains = self._new_chains()
        order = sorted(chains, key=lambda n: (len(self._displaced_chains(chains[n])), n))
        independent = [chains[n] for n in order if not self._displaced_chains(chains[n])]
        batches = [independent] if independent else []
        active = len({a.chain for a in self._current.values() if a.chain})
        max_retired = max(1, int(active * MAX_RETIRED_FRACTION))
        retired: set[str] = set()
        batch: list[list[Assignment]] = []
        for name in order:
            displaced = self._displaced_chains(chains[name])
            if not displaced:
                continue
            if batch and len(retired | displaced) > max_retired:
                batches.append(batch)
                batch, retired = [], set()
            batch.append(chains[name])
            retired |= displaced
        return [*batches, batch] if batch else batches

    def _replace(self, batch: Sequence[Sequence[Assignment]]) -> None:
        members = [a for chain in batch for a in chain]
        displaced = self._displaced_chains(members)
        retired = {
            e: msgspec.structs.replace(a, chain="")
            for e, a in self._current.items()
            if a.chain in displaced
        }
        self._add_step(retired, StepCondition.DRAINED, "retire " + ", ".join(sorted(displaced)))
        loading = {
            a.engine: msgspec.structs.replace(
                a, chain="", watts=min(a.watts, self._current[a.engine].watts)
            )
            for a in members
        }
        self._add_step(
            loading, StepCondition.LOADED, "load " + ", ".join(sorted({a.chain for a in members}))
        )
        self._add_step(
            {a.engine: self._affordable(a, members) for a in members},
            StepCondition.CONFIRMED,
            "activate " + ", ".join(sorted({a.chain for a in members})),
        )

    def _affordable(self, target: Assignment, members: Sequence[Assignment]) -> Assignment:
        """Return `target`, at its present power where the cap has no room for the whole batch."""
        added = sum(max(0, a.watts - self._current[a.engine].watts) for a in members)
        if self._total_watts() + added <= self._cap_watts:
            return target
        watts = min(target.watts, self._current[target.engine].watts)
        return msgspec.structs.replace(target, watts=watts)

    def _lower_to_target(self, reason: str) -> None:
        lowered = {
            e: msgspec.structs.replace(a, watts=min(a.watts, self._target[e].watts))
            for e, a in self._current.items()
            if e in self._target
        }
        self._add_step(lowered, StepCondition.CONFIRMED, reason)

    def _finish(self) -> None:
        """Retire chains that are no longer wanted, lower, then go over to the wanted plan."""
        target_chains = {a.chain for a in self._target.values()}
        retired = {
            e: msgspec.structs.replace(a, chain="")
            for e, a in self._current.items()
            if a.chain and a.chain not in target_chains
        }
        self._add_step(
            retired, StepCondition.DRAINED, "retire chains that are not in the target plan"
        )
        self._lower_to_target("lower power before raising it")
        self._drop_removed_engines()
        self._add_step(self._target, StepCondition.CONFIRMED, "apply the target plan")

    def _drop_removed_engines(self) -> None:
        """Drop engines that the service files no longer name; their power is free from then on."""
        removed = set(self._current) - set(self._target)
        if not removed:
            return
        for engine in removed:
            del self._current[engine]
        plan = tuple(self._current[e] for e in sorted(self._current))
        self._steps.append(TransitionStep(plan, StepCondition.CONFIRMED, "remove engines"))
