"""Owners of key shards: the incremental table equals a ranking of all hosts."""

from hypothesis import given, settings
from hypothesis import strategies as st

from minttide.ids import HostId
from minttide.rendezvous import OWNERS_PER_SHARD, OwnerTable, rank_hosts

SHARDS = 5
host_sets = st.sets(st.sampled_from([HostId(f"h{n}") for n in range(7)]))


@settings(derandomize=True, deadline=None)
@given(st.lists(host_sets, min_size=1, max_size=6))
def test_the_table_agrees_with_ranking_all_hosts(updates):
    table = OwnerTable(SHARDS)
    for hosts in updates:
        table.update(hosts)
        for shard in range(SHARDS):
            assert table.owners(shard) == rank_hosts(f"keys-{shard}", hosts)[:OWNERS_PER_SHARD]
            assert all((shard in table.owned_by(h)) == (h in table.owners(shard)) for h in hosts)
