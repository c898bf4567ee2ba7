"""A gateway whose engines keep prompts: which engines its streams use, and what it reports."""

import asyncio
import logging

import msgspec
import pytest
from gateway_site import END, NAMES, STREAM_HEAD, GatewaySite, ScriptedUpstream, events
from stream_site import MODEL

from minttide.ids import UpstreamId, ZoneId
from minttide.policy.prefix_affinity import PrefixHomes, SizedPart, prompt_prefixes
from minttided.gateway.callers.request import parse_request_size, parse_sized_parts
from minttided.http.messages import HttpRequest

KEEPS = msgspec.structs.replace(MODEL, retained_tokens=100_000)
PARTS = "aa:900,{}:100"
ANSWER = [STREAM_HEAD, events(1, 2, 3), END]


def run_streams(model, *steps, count=4, hosts=1.0, parts=PARTS):
    """Send streams that share a part one after the other; return the site and their engines.

    `steps` are called with the site after the first stream.
    """
    engines = [(ScriptedUpstream(name, *[ANSWER] * 20), 0, 4, "k") for name in "abcd"]
    site = GatewaySite(engines=engines, model=model)
    used = []

    async def run():
        async with site:
            site.loads.count_hosts = lambda: hosts
            for number in range(count):
                before = {u.name: len(u.requests) for u, *_ in engines}
                headers = [("x-tokens", "1000,5"), ("x-parts", parts.format(number))]
                await site.send_request("draft", "POST", headers=headers)
                used.extend(u.name for u, *_ in engines if len(u.requests) > before[u.name])
                for step in steps if number == 0 else ():
                    step(site, used[0])
            site.rendered = site.state.metrics.render().decode()

    asyncio.run(run())
    return site, used


def test_streams_with_a_common_part_go_to_its_holder(caplog):
    """Guards against wiring that loses the prefix between the header and the search."""
    caplog.set_level(logging.INFO)
    site, used = run_streams(KEEPS, count=6)
    assert len(used) == 6 and len(set(used)) == 1
    lines = [r for r in caplog.records if r.getMessage() == "prefix weighed"]
    assert [(r.saved, r.held, r.holders) for r in lines] == [(900, 900, 1)] * 5
    assert all(0.0 <= r.age_s < 10.0 for r in lines)
    assert 'minttide_prefix_tokens_total{service="model",use="saved"} 4500' in site.rendered


def test_a_part_that_is_larger_than_its_prompt_saves_no_more_than_the_prompt(caplog):
    """Guards against callers that make the counters meaningless."""
    caplog.set_level(logging.INFO)
    run_streams(KEEPS, parts="aa:999999999,own{}:1", count=2)
    assert [r.saved for r in caplog.records if r.getMessage() == "prefix weighed"] == [1000]


def test_nothing_is_kept_or_reported_where_engines_keep_no_prompts(caplog):
    """Guards against a cost, a line or a label for deployments without such memory."""
    caplog.set_level(logging.INFO)
    site, used = run_streams(MODEL, count=6)
    assert len(set(used)) > 1
    assert not [r for r in caplog.records if r.getMessage() == "prefix weighed"]
    assert "prefix_tokens_total{" not in site.rendered
    assert len(site.streams.prefixes._sent) == 0  # noqa: SLF001


def test_first_streams_of_many_hosts_go_to_the_home_of_their_part(caplog):
    """Guards against hosts that know nothing of each other's sends and spread a prefix.

    A home that this host hasn't used isn't reported as a saving.
    """
    caplog.set_level(logging.INFO)
    site, used = run_streams(KEEPS, hosts=4.0, parts="part{}:900,own:100", count=8)
    homes = PrefixHomes(site.state.upstreams.values(), ZoneId("z"))
    parts = [[SizedPart(f"part{n}", 900), SizedPart("own", 100)] for n in range(8)]
    expected = [next(iter(homes.find(prompt_prefixes("m", p)))) for p in parts]
    assert used == expected and len(set(used)) > 1
    assert not [r for r in caplog.records if r.getMessage() == "prefix weighed"]


LOSSES = {
    "does not respond": lambda site, name: site.streams.check_streams(UpstreamId(name)),
    "restarted": lambda site, name: site.state.upstreams.update(
        {name: msgspec.structs.replace(site.state.upstreams[name], born_ms=7)}
    ),
}


@pytest.mark.parametrize("case", LOSSES)
def test_holder_that_was_lost_is_no_longer_reported(case, caplog):
    """Guards against a saving counted on an engine that has restarted."""
    caplog.set_level(logging.INFO)
    run_streams(KEEPS, LOSSES[case], count=2)
    assert not [r for r in caplog.records if r.getMessage() == "prefix weighed"]


SIZED = {
    "sizes": ("a:40, b : 7 ,c:0", [("a", 40), ("b", 7), ("c", 0)]),
    "no numbers": ("a,b:,c:x,d:-1,e:1.5,f:²", [(name, 0) for name in "abcdef"]),
    "endless number": ("a:" + "9" * 5000, [("a", 0)]),
    "none": ("", []),
}


@pytest.mark.parametrize("case", SIZED)
def test_sizes_of_prompt_parts_are_read_and_bounded(case):
    """Guards against callers whose sizes aren't numbers, or are too large for one."""
    header, found = SIZED[case]
    req = HttpRequest("POST", "/", "", [(NAMES.prompt_parts, header)], b"")
    assert [(p.part, p.tokens) for p in parse_sized_parts(req, NAMES)] == found


@pytest.mark.parametrize(("model", "tokens"), [(MODEL, None), (KEEPS, [900])])
def test_prefixes_are_read_only_for_models_whose_engines_keep_prompts(model, tokens):
    req = HttpRequest("POST", "/", "", [(NAMES.prompt_parts, PARTS.format("x"))], b"")
    prefixes = parse_request_size(req, NAMES, model).prefixes
    assert (prefixes and [p.tokens for p in prefixes]) == tokens
