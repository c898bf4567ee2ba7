"""Which connections of callers are refused or closed, and the bounds of small and large hosts."""

import pytest

from minttide.policy.caller_limits import (
    CONNECTION_BYTES,
    RESERVED_DESCRIPTORS,
    CallerConnection,
    ReplacementRule,
    Use,
    choose_holder,
    derive_bounds,
)

MB = 1024 * 1024
RULE = ReplacementRule(header_timeout_s=10.0, idle_timeout_s=60.0)
NOW_S = 1000.0


def conn(use, age_s, address="a", held_bytes=0):
    return CallerConnection(address, NOW_S - age_s, use, held_bytes)


# Guards against bounds by which a host exceeds its memory or descriptors, or refuses good callers.
@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "least"),
    [(152, 1535, 400), (300, 8192, 1000), (552, 8192, 2000), (64, 256, 16), (64, 16, 8)],
)
def test_bounds_fit_memory_and_descriptors(memory_mb, descriptors, least):
    bounds = derive_bounds(memory_mb * MB, descriptors)
    assert bounds.connections >= least
    assert bounds.connections * CONNECTION_BYTES <= max(0.5 * memory_mb * MB, 8 * CONNECTION_BYTES)
    if descriptors > 2 * RESERVED_DESCRIPTORS:
        listeners = bounds.directory_connections + 2 * bounds.monitor_connections
        assert 2 * bounds.connections + listeners + RESERVED_DESCRIPTORS <= descriptors
    assert bounds.held_bytes <= memory_mb * MB / 4


KEPT = {
    "silent at first": conn(Use.SILENT, 0.5),
    "idle within four fifths": conn(Use.IDLE, 47.0),
    "head within its time": conn(Use.RECEIVING, 9.0),
    "running for long": conn(Use.RUNNING, 3600.0),
    "read slowly": conn(Use.UNREAD, 4.0),
}
REPLACED = {
    "silent": conn(Use.SILENT, 2.0),
    "idle for too long": conn(Use.IDLE, 49.0),
    "head over its time": conn(Use.RECEIVING, 11.0),
    "unread": conn(Use.UNREAD, 6.0),
}


# Guards against callers within their limits that lose connections to a newcomer.
@pytest.mark.parametrize("case", KEPT)
def test_connections_within_the_limits_are_kept(case):
    assert RULE.find_replaceable([KEPT[case]], "a", NOW_S) == []


# Guards against a host that idle or abandoned connections fill.
@pytest.mark.parametrize("case", REPLACED)
def test_connections_beyond_the_limits_make_room(case):
    assert RULE.find_replaceable([REPLACED[case]], "a", NOW_S) == [REPLACED[case]]


# Guards against one address whose trickled requests leave no room for any other.
@pytest.mark.parametrize(("newcomer", "replaced"), [("a", 0), ("b", 3)])
def test_address_with_most_connections_makes_room_for_others_only(newcomer, replaced):
    found = [*[conn(Use.RECEIVING, 2.0)] * 3, conn(Use.RECEIVING, 2.0, "b")]
    found = [CallerConnection(c.address, c.since_s, c.use) for c in found]
    assert len(RULE.find_replaceable(found, newcomer, NOW_S)) == replaced


def test_longest_unused_connection_of_the_largest_address_goes_first():
    old, new = conn(Use.SILENT, 9.0), conn(Use.SILENT, 2.0)
    other = conn(Use.SILENT, 20.0, "b")
    assert RULE.find_replaceable([other, new, old], "c", NOW_S) == [old, new, other]


# Guards against closing small or moving answers in place of a large one that nobody reads.
def test_largest_unread_answer_of_the_address_that_holds_most_is_closed():
    small = conn(Use.UNREAD, 100.0, "a", 1000)
    moving = conn(Use.UNREAD, 0.0, "a", 300_000)
    stalled = conn(Use.UNREAD, 9.0, "a", 200_000)
    other = conn(Use.UNREAD, 50.0, "b", 400_000)
    assert choose_holder([small, moving, other, stalled], 0.6, NOW_S) is stalled
    assert choose_holder([small, moving, other, stalled], 0.4, NOW_S) is None
    assert choose_holder([small, other], 1.2, NOW_S) is None


# Guards against answers that are closed while they are read, and against a bound that isn't kept.
@pytest.mark.parametrize(("use", "closed"), [(0.9, 0), (1.1, 1)])
def test_answers_that_are_read_are_closed_only_beyond_the_whole_bound(use, closed):
    found = [conn(Use.UNREAD, 0.5, "a", 300_000), conn(Use.UNREAD, 0.5, "b", 400_000)]
    assert choose_holder(found, use, NOW_S) is (found[1] if closed else None)
