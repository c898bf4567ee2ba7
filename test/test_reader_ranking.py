"""The ranking of readers, which each host asks for many times a second."""

import random

import msgspec
import pytest
from test_gateway_entry import member

from minttide.gossip import Member
from minttide.ids import NO_OFFSET, Address, HostId, Incarnation, ZoneId
from minttide.membership import MemberTable
from minttide.routing import readers
from minttide.routing.readers import ReaderRanking, rank_readers

ZONE = ZoneId("z")
HOSTS = 195
SECONDS = 25
QUESTIONS_PER_S = 44
"""Questions of one host, counted on a quiet day of 195 hosts."""

NEWS_PER_S = 8
"""Messages of a second that change what a host knows of others' load, about as many as seen."""


def change(members, rng):
    """Return the hosts after a random change of one."""
    number = rng.randrange(len(members))
    changed = msgspec.structs.replace(
        members[number],
        suspect=rng.random() < 0.3,
        leaving=rng.random() < 0.2,
        load=rng.random(),
        zone=rng.choice([ZONE, ZoneId("y")]),
    )
    members = [*members[:number], changed, *members[number + 1 :]]
    return members[:-1] if rng.random() < 0.1 else members


@pytest.mark.parametrize("seed", range(20))
def test_ranking_that_is_kept_is_the_one_that_is_worked_out_anew(seed):
    rng = random.Random(seed)
    members = [member(f"h{n}") for n in range(30)]
    ranking = ReaderRanking(ZONE)
    while len(members) > 2:
        assert list(ranking.rank(members)) == rank_readers(members, ZONE)
        members = change(members, rng)


def test_hosts_are_ranked_again_only_if_the_candidates_have_changed(monkeypatch):
    """Guards against a cost of each question that grows with the hosts of the zone."""
    ranked = []
    rank_hosts = readers.rank_hosts
    monkeypatch.setattr(readers, "rank_hosts", lambda *a: ranked.append(a) or rank_hosts(*a))
    table = make_table()
    ranking = ReaderRanking(ZONE)
    for tick in range(SECONDS * QUESTIONS_PER_S):
        if tick % (QUESTIONS_PER_S // NEWS_PER_S) == 0:
            table.update_vitals(NO_OFFSET, tick / 1e6)
        assert len(ranking.rank(table.views())) == HOSTS
    assert len(ranked) == 1


def make_table():
    """Return the table of one of `HOSTS` hosts that knows all of them."""
    entries = [
        Member(HostId(f"h{n}"), Incarnation(1), ZONE, Address(f"a{n}:1"), Address(f"p{n}:1"))
        for n in range(HOSTS)
    ]
    table = MemberTable(entries[0], random.Random(1))
    for entry in entries[1:]:
        table._apply(entry, 0.0)  # noqa: SLF001
    return table


def test_listed_hosts_are_the_same_object_until_something_changes():
    table = make_table()
    views = table.views()
    assert table.views() is views
    table.suspect(table.active_peers()[0], 1.0)
    assert table.views() is not views
    assert sum(view.suspect for view in table.views()) == 1
