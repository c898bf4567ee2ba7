"""Specification of news between hosts: a revoked key is refused in time, whoever told of it.

A reader asks the store, and a follower asks the reader. Both answers may be late. Each host counts
the age of what it knows in ticks; a key is accepted while that age is below the limit. The store's
clock and the hosts' clocks run alike here: ages are short against the drift of clocks.
"""

from typing import NamedTuple

import minicheck

from spec.common import Spec

BOUND = 5  # ticks after which a revoked key must be refused
LIMIT = 4  # age up to which keys are accepted
MAX_AGE = BOUND + 2
NONE = -1


class Answer(NamedTuple):
    """An answer on its way: what it tells, its age when it was given, ticks since it was asked."""

    revoked: bool
    age: int
    since: int


class State(NamedTuple):
    """Ticks since the key was revoked, what each host knows with its age, and open questions.

    A question is the ticks since it was asked, or `NONE`; an answer is there once it was given.
    """

    revoked_for: int
    reader: tuple  # (knows of the revocation, age)
    follower: tuple
    asked_store: int
    from_store: Answer | None
    asked_reader: int
    from_reader: Answer | None


def _older(ticks: int) -> int:
    return ticks if ticks == NONE else min(MAX_AGE, ticks + 1)


def _later(answer: Answer | None) -> Answer | None:
    return answer and answer._replace(since=min(MAX_AGE, answer.since + 1))


class _Steps:
    def __init__(self, state: State, broken: str | None):
        self.state = state
        self.broken = broken

    def all(self) -> list[tuple[str, State]]:
        found = [("tick", self._tick())]
        if self.state.revoked_for == NONE:
            found.append(("revoke", self.state._replace(revoked_for=0)))
        return found + self._reader() + self._follower()

    def _tick(self) -> State:
        state = self.state
        return state._replace(
            revoked_for=_older(state.revoked_for),
            reader=(state.reader[0], _older(state.reader[1])),
            follower=(state.follower[0], _older(state.follower[1])),
            asked_store=_older(state.asked_store),
            from_store=_later(state.from_store),
            asked_reader=_older(state.asked_reader),
            from_reader=_later(state.from_reader),
        )

    def _reader(self) -> list[tuple[str, State]]:
        state = self.state
        if state.asked_store == NONE:
            return [("reader asks", state._replace(asked_store=0))]
        if state.from_store is None:
            told = Answer(state.revoked_for != NONE, 0, state.asked_store)
            return [("store answers", state._replace(from_store=told))]
        age = 0 if self.broken == "reader counts from the answer" else state.from_store.since
        knows = state.reader[0] or state.from_store.revoked
        after = state._replace(reader=(knows, age), asked_store=NONE, from_store=None)
        return [("reader takes", after)]

    def _follower(self) -> list[tuple[str, State]]:
        state = self.state
        if state.asked_reader == NONE:
            return [("follower asks", state._replace(asked_reader=0))]
        if state.from_reader is None:
            told = Answer(state.reader[0], state.reader[1], state.asked_reader)
            return [("reader answers", state._replace(from_reader=told))]
        told = state.from_reader
        ages = {
            "follower ignores the reader's age": told.since,
            "follower counts from the answer": told.age,
        }
        age = min(MAX_AGE, ages.get(self.broken or "", told.age + told.since))
        knows = state.follower[0] or told.revoked
        follower = (knows, min(age, state.follower[1]))
        return [
            (
                "follower takes",
                state._replace(follower=follower, asked_reader=NONE, from_reader=None),
            )
        ]


def build(broken: str | None = None) -> minicheck.Protocol:
    """Return the model, or the variant of it that `broken` names."""
    limit = BOUND + 1 if broken == "limit above the bound" else LIMIT

    def refused_in_time(d: dict) -> bool:
        accepting = [not knows and age <= limit for knows, age in (d["reader"], d["follower"])]
        return d["revoked_for"] <= BOUND or not any(accepting)

    return minicheck.Protocol(
        name="news",
        candidate=False,
        fields=State._fields,
        initial=State(NONE, (False, 0), (False, 0), NONE, None, NONE, None),
        transitions=lambda state: _Steps(State(*state), broken).all(),
        invariants={"a revoked key is refused in time": refused_in_time},
    )


SPECS = [
    Spec(
        "news",
        build,
        dict.fromkeys(
            [
                "reader counts from the answer",
                "follower ignores the reader's age",
                "follower counts from the answer",
                "limit above the bound",
            ],
            "a revoked key is refused in time",
        ),
    )
]
