"""The fold of a placement stream: lease, plan and reserved power."""

import pytest

from minttide.folds.placement import MAX_LEASE_MS, PlacementFold
from minttide.ids import HostId, Incarnation, Offset, ServiceName, UpstreamId
from minttide.records import (
    RECORD_FORMAT,
    Assignment,
    Confirmation,
    EngineWatts,
    Envelope,
    LeaseAcquire,
    LeaseRelease,
    LeaseRenewal,
    Plan,
    encode,
)

ACQUIRE = LeaseAcquire(Offset(-1), 5000)


def plan(watts, seen, term=0, cap=1000, gone=()):
    rows = [
        Assignment(UpstreamId(e), ServiceName("m"), "1", 0, 4, w, "c") for e, w in watts.items()
    ]
    return Plan(Offset(term), Offset(seen), rows, cap, [UpstreamId(e) for e in gone])


def confirm(fencing, watts, term=0):
    rows = [EngineWatts(UpstreamId(e), Offset(fencing), w) for e, w in watts.items()]
    return Confirmation(Offset(term), rows)


def fold_all(bodies):
    fold = PlacementFold()
    found = []
    for offset, (host, body) in enumerate(bodies):
        payload = encode(Envelope(RECORD_FORMAT, HostId(host), Incarnation(1), 0, body))
        found.append(fold.apply(Offset(offset), payload)[0].decision.value)
    return fold, found


@pytest.mark.parametrize(
    ("bodies", "expected"),
    [
        ([("a", ACQUIRE), ("b", ACQUIRE)], ["accepted", "stale"]),
        ([("a", LeaseAcquire(Offset(-1), MAX_LEASE_MS + 1))], ["malformed"]),
        (
            [("a", ACQUIRE), ("b", LeaseAcquire(Offset(0), 5000)), ("a", ACQUIRE)],
            ["accepted"] * 2 + ["stale"],
        ),
        (
            [
                ("a", ACQUIRE),
                ("a", LeaseRenewal(Offset(0), Offset(0))),
                ("b", LeaseAcquire(Offset(0), 9)),
            ],
            ["accepted", "accepted", "stale"],
        ),
        (
            [("a", ACQUIRE), ("a", LeaseRelease(Offset(0))), ("a", plan({"e": 1}, -1))],
            ["accepted", "accepted", "stale"],
        ),
        ([("a", ACQUIRE), ("b", plan({"e": 1}, -1))], ["accepted", "stale"]),
        (
            [("a", ACQUIRE), ("a", plan({"e": 1}, -1)), ("a", plan({"e": 2}, 1))]
            + [("a", plan({"e": 1}, -1))],
            ["accepted"] * 3 + ["stale"],
        ),
    ],
)
def test_decides_on_leases_and_plans(bodies, expected):
    assert fold_all(bodies)[1] == expected


@pytest.mark.parametrize(
    ("steps", "decision", "reserved"),
    [
        ([plan({"e": 600, "f": 400}, -1)], "accepted", {"e": 600, "f": 400}),
        ([plan({"e": 600, "f": 401}, -1)], "over-cap", {}),
        (
            [plan({"e": 600, "f": 400}, -1), plan({"e": 300, "f": 700}, 1)],
            "over-cap",
            {"e": 600, "f": 400},
        ),
        (
            [plan({"e": 600, "f": 400}, -1), plan({"e": 300, "f": 400}, 1)]
            + [confirm(2, {"e": 300}), plan({"e": 300, "f": 700}, 2)],
            "accepted",
            {"e": 300, "f": 700},
        ),
        (
            [plan({"e": 600, "f": 400}, -1), plan({"e": 300, "f": 400}, 1), confirm(1, {"e": 300})],
            "stale",
            {"e": 600, "f": 400},
        ),
        (
            [plan({"e": 600, "f": 400}, -1), plan({"f": 400}, 1, cap=900, gone=["e"])],
            "accepted",
            {"f": 400},
        ),
        (
            [plan({"e": 600, "f": 400}, -1), plan({"f": 400}, 1, gone=["e"])]
            + [plan({"e": 300, "f": 500}, 2)],
            "over-cap",
            {"f": 400},
        ),
        ([plan({"e": 600}, -1), plan({"e": 600}, 1, cap=10)], "accepted", {"e": 600}),
    ],
)
def test_reserves_power_until_lower_power_is_confirmed(steps, decision, reserved):
    fold, found = fold_all([("a", ACQUIRE)] + [("a", step) for step in steps])
    assert found[-1] == decision
    assert fold.reserved == reserved
