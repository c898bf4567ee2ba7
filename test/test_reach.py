"""What a host concludes from the upstreams that it can't connect to."""

import pytest

from minttide.ids import Address, ServiceName, UpstreamId, ZoneId
from minttide.policy.reach import MAX_UNREACHABLE, Reach
from minttide.routing.routes import LayerRange, UpstreamEntry


def make_entry(name, layers=None):
    held = LayerRange(*layers) if layers else None
    address, zone = Address(f"{name}:1"), ZoneId("z")
    return UpstreamEntry(UpstreamId(name), ServiceName("s"), address, zone, False, 6, layers=held)


HALVES = {"a": (0, 2), "b": (0, 2), "m": (2, 4), "n": (2, 4)}
WHOLE = {"a": (0, 4), "b": (0, 4)}
GAP = {"a": (0, 2), "m": (3, 4)}
OVERLAP = {"a": (0, 3), "b": (0, 2), "m": (2, 4)}
EMPTY = {"a": (0, 4), "b": None}
PLAIN = dict.fromkeys("abc")


@pytest.mark.parametrize(
    ("listed", "layers", "unreachable", "lacking"),
    [
        ({}, None, "", False),
        ({}, 4, "", False),
        (PLAIN, None, "", False),
        (PLAIN, None, "ab", False),
        (PLAIN, None, "abc", True),
        (PLAIN, None, "xyz", False),
        (HALVES, 4, "", False),
        (HALVES, 4, "am", False),
        (HALVES, 4, "ab", True),
        (HALVES, 4, "mn", True),
        (HALVES, 4, "abmn", True),
        (WHOLE, 4, "a", False),
        (WHOLE, 4, "ab", True),
        (GAP, 4, "am", False),
        (OVERLAP, 4, "a", False),
        (OVERLAP, 4, "b", True),  # The layers of a and m overlap, so no path uses both.
        (EMPTY, 4, "b", False),
        (EMPTY, 4, "a", True),
        ({"a": None}, 4, "a", False),
    ],
)
def test_service_lacks_upstreams_once_the_reachable_ones_cannot_serve(
    listed, layers, unreachable, lacking
):
    reach = Reach()
    for name in unreachable:
        reach.record_unreachable(UpstreamId(name), 0.0)
    entries = [make_entry(*item) for item in listed.items()]
    assert reach.lacks_upstreams(entries, layers) is lacking
    for name in unreachable:
        assert reach.record_reached(UpstreamId(name))
    assert not reach.unreachable
    assert not reach.lacks_upstreams(entries, layers)


@pytest.mark.parametrize(
    ("listed", "failed_s", "suspected"),
    [
        ("abcde", {"a": 9.0, "b": 9.5}, False),
        ("abcde", {"a": 9.0, "b": 9.5, "c": 10.0}, True),
        ("abcde", {"a": 8.9, "b": 9.5, "c": 10.0}, False),
        ("ab", {"a": 9.5}, False),
        ("ab", {"a": 9.5, "b": 10.0}, True),
        ("abcd", {"a": 1.0, "b": 1.0, "c": 9.5, "d": 10.0}, True),
        ("abcde", {"a": 1.0, "b": 1.0, "c": 9.5, "d": 10.0}, False),
        ("ab", {"a": 1.0, "b": 1.0}, False),
        ("", {}, False),
    ],
)
def test_cut_is_suspected_once_several_become_unreachable_within_a_second(
    listed, failed_s, suspected
):
    reach = Reach()
    for name, at_s in failed_s.items():
        assert reach.record_unreachable(UpstreamId(name), at_s)
    assert reach.suspects_cut([make_entry(name) for name in listed], 10.0) is suspected


def test_unreachable_upstreams_are_kept_in_bounds_and_forgotten():
    reach = Reach()
    for number in range(MAX_UNREACHABLE + 10):
        reach.record_unreachable(UpstreamId(f"u{number}"), float(number))
    assert len(reach.unreachable) == MAX_UNREACHABLE
    assert "u0" not in reach.unreachable and "u10" in reach.unreachable
    assert not reach.record_unreachable(UpstreamId("u10"), 0.0)
    reach.forget(UpstreamId("u10"))
    assert "u10" not in reach.unreachable
