"""Plans the transition between two placement plans.

Service continues during the transition and the power cap is never exceeded. Each step is a complete
plan that can be appended to the placement stream once the step before it has been carried out.
Power is lowered first, confirmed by reading it back, and only then raised elsewhere.
"""

from collections.abc import Mapping, Sequence
from enum import Enum

import msgspec

from minttide.ids import UpstreamId
from minttide.records import Assignment

MAX_RETIRED_FRACTION = 0.125
"""Fraction of the active chains that may be retired at the same time; at least one chain may."""


class StepCondition(Enum):
    """Condition that must hold before the next step of a transition."""

    CONFIRMED = "confirmed"  # every engine reports the step's power
    DRAINED = "drained"  # the retired chains have no streams left
    LOADED = "loaded"  # every engine holds the step's layers


class TransitionStep(msgspec.Struct, frozen=True):
    """One step of a transition: a complete plan, the condition to wait for, and the reason.

    An engine whose assignment has layers but no chain name is being retired or loaded: it gets no
    new requests, but its running streams continue.
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
    """Return the steps from plan `previous` to `target`; the last one is `target` itself.

    Chains that are in both plans are left alone. The others are replaced a few at a time: the old
    ones are retired and drained, then the new ones are loaded and activated.
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
        """Lower the power of engines without a chain, which doesn't affect the service."""
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
        """Return the new chains in batches, starting with those that displace no active chain."""
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
        """Return `target`, but at its current power if the batch as a whole exceeds the cap."""
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
        """Retire chains not in the target plan, lower power, then apply the target plan."""
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
        """Remove engines that are not in the service files any more, which frees their power."""
        removed = set(self._current) - set(self._target)
        if not removed:
            return
        for engine in removed:
            del self._current[engine]
        plan = tuple(self._current[e] for e in sorted(self._current))
        self._steps.append(TransitionStep(plan, StepCondition.CONFIRMED, "remove engines"))
