"""Specification of key revocation: every host rejects a revoked key within a bounded time.

A reader polls the store, and a follower polls the reader. Both responses may be delayed. Each host
counts the age of its snapshot in ticks, and accepts a key while that age is within the limit. All
clocks run at the same rate here, since ages are too short for drift to matter.
"""

from typing import NamedTuple

import minicheck

from spec.common import Spec

MAX_REVOCATION_TICKS = 5  # ticks after a revocation within which the key must be rejected
MAX_ACCEPTED_AGE = 4  # age of a snapshot, in ticks, up to which keys are accepted
MAX_AGE = MAX_REVOCATION_TICKS + 2
UNSET = -1


class Response(NamedTuple):
    """A response in flight: its content with the age when sent, and ticks since the request."""

    revoked: bool
    age: int
    since_request: int


class State(NamedTuple):
    """Ticks since the revocation, the snapshot of each host with its age, and open requests.

    A request is the ticks since it was sent, or `UNSET`; its response is none until it is sent.
    """

    since_revocation: int
    reader: tuple  # (whether its snapshot has the revocation, age of the snapshot)
    follower: tuple
    store_request: int
    store_response: Response | None
    reader_request: int
    reader_response: Response | None


def _increment(ticks: int) -> int:
    return ticks if ticks == UNSET else min(MAX_AGE, ticks + 1)


def _age_response(response: Response | None) -> Response | None:
    return response and response._replace(since_request=min(MAX_AGE, response.since_request + 1))


class _Steps:
    def __init__(self, state: State, variant: str | None):
        self.state = state
        self.variant = variant

    def all(self) -> list[tuple[str, State]]:
        steps = [("tick", self._tick())]
        if self.state.since_revocation == UNSET:
            steps.append(("revoke", self.state._replace(since_revocation=0)))
        return steps + self._reader_steps() + self._follower_steps()

    def _tick(self) -> State:
        state = self.state
        return state._replace(
            since_revocation=_increment(state.since_revocation),
            reader=(state.reader[0], _increment(state.reader[1])),
            follower=(state.follower[0], _increment(state.follower[1])),
            store_request=_increment(state.store_request),
            store_response=_age_response(state.store_response),
            reader_request=_increment(state.reader_request),
            reader_response=_age_response(state.reader_response),
        )

    def _reader_steps(self) -> list[tuple[str, State]]:
        state = self.state
        if state.store_request == UNSET:
            return [("reader polls store", state._replace(store_request=0))]
        if state.store_response is None:
            response = Response(state.since_revocation != UNSET, 0, state.store_request)
            return [("store responds", state._replace(store_response=response))]
        age = (
            0 if self.variant == "request delay not counted" else state.store_response.since_request
        )
        has_revocation = state.reader[0] or state.store_response.revoked
        after = state._replace(
            reader=(has_revocation, age), store_request=UNSET, store_response=None
        )
        return [("reader applies", after)]

    def _follower_steps(self) -> list[tuple[str, State]]:
        state = self.state
        if state.reader_request == UNSET:
            return [("follower polls reader", state._replace(reader_request=0))]
        if state.reader_response is None:
            response = Response(state.reader[0], state.reader[1], state.reader_request)
            return [("reader responds", state._replace(reader_response=response))]
        response = state.reader_response
        ages = {
            "reader's age not counted": response.since_request,
            "transfer time not counted": response.age,
        }
        age = min(MAX_AGE, ages.get(self.variant or "", response.age + response.since_request))
        has_revocation = state.follower[0] or response.revoked
        follower = (has_revocation, min(age, state.follower[1]))
        return [
            (
                "follower applies",
                state._replace(follower=follower, reader_request=UNSET, reader_response=None),
            )
        ]


def build(variant: str | None = None) -> minicheck.Protocol:
    """Return the model, or its broken variant `variant` if one is given."""
    max_accepted_age = (
        MAX_REVOCATION_TICKS + 1 if variant == "age limit above the bound" else MAX_ACCEPTED_AGE
    )

    def rejected_in_time(d: dict) -> bool:
        accepting = [
            not has_revocation and age <= max_accepted_age
            for has_revocation, age in (d["reader"], d["follower"])
        ]
        return d["since_revocation"] <= MAX_REVOCATION_TICKS or not any(accepting)

    return minicheck.Protocol(
        name="key revocation",
        candidate=False,
        fields=State._fields,
        initial=State(UNSET, (False, 0), (False, 0), UNSET, None, UNSET, None),
        transitions=lambda state: _Steps(State(*state), variant).all(),
        invariants={"revoked key rejected in time": rejected_in_time},
    )


SPECS = [
    Spec(
        "key revocation",
        build,
        dict.fromkeys(
            [
                "request delay not counted",
                "reader's age not counted",
                "transfer time not counted",
                "age limit above the bound",
            ],
            "revoked key rejected in time",
        ),
    )
]
