"""Shared by the specifications: their description, and the model check of one of them."""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass

import minicheck

MAX_STATES = 3_000_000
"""Limit on the states of one search; a search that reaches it counts as failed."""

Invariant = Callable[[dict], bool]


@dataclass(frozen=True)
class Spec:
    """One specification. `build(variant)` returns its model, or a broken variant of the model.

    `broken_variants` maps the name of each variant to the property that it must violate.
    """

    name: str
    build: Callable[[str | None], minicheck.Protocol]
    broken_variants: dict[str, str]


@dataclass(frozen=True)
class Result:
    """The result for one property of a specification or of one of its broken variants."""

    spec: str
    variant: str
    property_name: str
    states: int
    complete: bool
    counterexample_steps: int | None  # length of the counterexample, or none

    @property
    def passed(self) -> bool:
        """Return whether the property holds, or the broken variant violates it."""
        if self.variant:
            return self.counterexample_steps is not None
        return self.complete and self.counterexample_steps is None


def check(spec: Spec) -> list[Result]:
    """Check every property of `spec`, and that each broken variant violates its property."""
    results = _check_model(spec, None)
    for variant, property_name in spec.broken_variants.items():
        results += [r for r in _check_model(spec, variant) if r.property_name == property_name]
    return results


def _check_model(spec: Spec, variant: str | None) -> list[Result]:
    model = spec.build(variant)
    if variant is not None:
        model = _stop_at_violation(model, spec.broken_variants[variant])
    search = minicheck.check_safety(model, max_states=MAX_STATES)
    return [
        Result(
            spec.name,
            variant or "",
            property_name,
            search["reachable_states"],
            search["exhaustive"],
            (
                len(property_result["counterexample"]) - 1
                if property_result["counterexample"]
                else None
            ),
        )
        for property_name, property_result in search["properties"].items()
    ]


def _stop_at_violation(model: minicheck.Protocol, property_name: str) -> minicheck.Protocol:
    """Return `model` with only the property `property_name`, ending at its first violation."""
    holds = model.invariants[property_name]
    transitions_of = model.transitions
    violated = False

    def transitions(state: tuple) -> list:
        nonlocal violated
        violated = violated or not holds(model.d(state))
        return [] if violated else transitions_of(state)

    return dataclasses.replace(model, transitions=transitions, invariants={property_name: holds})
