"""What the specifications share: their description and the check of one of them."""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass

import minicheck

MAX_STATES = 3_000_000
"""States after which a search is cut off, which counts as a failure."""

Invariant = Callable[[dict], bool]


@dataclass(frozen=True)
class Spec:
    """One specification. `build(broken)` gives its model, `broken` naming a variant or none.

    `broken` maps each broken variant to the property that it must violate.
    """

    name: str
    build: Callable[[str | None], minicheck.Protocol]
    broken: dict[str, str]


@dataclass(frozen=True)
class Result:
    """The verdict on one property of a specification or of one of its broken variants."""

    spec: str
    variant: str
    prop: str
    states: int
    complete: bool
    steps: int | None  # length of the counterexample, if there is one

    @property
    def passed(self) -> bool:
        """Return whether the specification holds, or its broken variant is found out."""
        if self.variant:
            return self.steps is not None
        return self.complete and self.steps is None


def check(spec: Spec) -> list[Result]:
    """Check every property of `spec`, and that every broken variant violates its own."""
    results = _check_model(spec, None)
    for variant, prop in spec.broken.items():
        results += [r for r in _check_model(spec, variant) if r.prop == prop]
    return results


def _check_model(spec: Spec, variant: str | None) -> list[Result]:
    model = spec.build(variant)
    if variant is not None:
        model = _stop_at(model, spec.broken[variant])
    found = minicheck.check_safety(model, max_states=MAX_STATES)
    return [
        Result(
            spec.name,
            variant or "",
            prop,
            found["reachable_states"],
            found["exhaustive"],
            len(verdict["counterexample"]) - 1 if verdict["counterexample"] else None,
        )
        for prop, verdict in found["properties"].items()
    ]


def _stop_at(model: minicheck.Protocol, prop: str) -> minicheck.Protocol:
    """Return `model` with only the property `prop`, and no steps from states that violate it."""
    holds = model.invariants[prop]
    steps = model.transitions
    found = False

    def transitions(state: tuple) -> list:
        nonlocal found
        found = found or not holds(model.d(state))
        return [] if found else steps(state)

    return dataclasses.replace(model, transitions=transitions, invariants={prop: holds})
