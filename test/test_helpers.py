"""The choice of the host that sends a request for a host that is cut off."""

import random
from collections import Counter

import msgspec
import pytest
from test_gateway_entry import member

from minttide.ids import HostId, ServiceName, ZoneId
from minttide.policy.helpers import choose_helper, find_helpers

SERVICE = ServiceName("s")
ZONE = ZoneId("z")


def helper(host, zone="z", **overrides):
    return msgspec.structs.replace(member(host, **overrides), zone=ZoneId(zone))


CHOICES = {
    "own zone first": ([helper("a"), helper("b", "y")], {}, (), "a"),
    "fewest requests": ([helper("a"), helper("b", "y")], {"a": 1}, (), "b"),
    "not tried": ([helper("a"), helper("b")], {}, ("a",), "b"),
    "another zone after a rejection": (
        [helper("a"), helper("b"), helper("c", "y")],
        {"c": 9},
        ("a",),
        "c",
    ),
    "not suspected": ([helper("a", suspect=True), helper("b", "y")], {"b": 9}, (), "b"),
    "suspected for want of others": ([helper("a", suspect=True)], {}, (), "a"),
    "none left": ([helper("a")], {}, ("a",), None),
    "not this host": ([helper("me")], {}, (), None),
    "not leaving": ([helper("a", leaving=True)], {}, (), None),
    "not cut off": ([helper("a", cut_off=(SERVICE,))], {}, (), None),
    "cut off from another service": ([helper("a", cut_off=(ServiceName("t"),))], {}, (), "a"),
}


@pytest.mark.parametrize("case", CHOICES)
def test_helper_is_chosen(case):
    members, running, tried, expected = CHOICES[case]
    helpers = find_helpers(members, HostId("me"), SERVICE)
    chosen = choose_helper(helpers, tried, Counter(running), ZONE, random.Random(1))
    assert (chosen.host if chosen is not None else None) == expected
