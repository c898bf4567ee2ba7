"""Estimated takeover times: replacing the lost engine in a path against a new path."""

import msgspec
import pytest
from test_layers import KINDS, MODEL

from minttide.ids import Address, UpstreamId, ZoneId
from minttide.layers.paths import Stage
from minttide.layers.takeover import takeover_ms
from minttide.routing.routes import LayerRange

TOKENS = 850.0
SLOW_LINK = msgspec.structs.replace(MODEL, zone_link_mbps=3_440.0)


def stage(name, first, last, zone="here", kind="small"):
    layers = LayerRange(first, last)
    return Stage(UpstreamId(name), Address(f"{name}:1"), ZoneId(zone), layers, kind)


def chain(prefix, zone, kind):
    return tuple(stage(f"{prefix}{i}", i * 8, i * 8 + 8, zone, kind) for i in range(10))


BEFORE = chain("a", "here", "middle")


def replace(index, new):
    return (*BEFORE[:index], new, *BEFORE[index + 1 :])


@pytest.mark.parametrize(
    ("spare", "sooner_anew"),
    [
        (stage("b", 32, 40), False),
        (stage("b", 32, 40, "there"), True),
    ],
)
def test_replacing_an_engine_is_faster_within_a_zone_and_a_new_path_across_slow_links(
    spare, sooner_anew
):
    """One engine of ten is lost; its replacement is in the same zone or in another one."""
    replaced = takeover_ms(SLOW_LINK, replace(4, spare), BEFORE, TOKENS)
    new_path = takeover_ms(SLOW_LINK, chain("c", "there", "middle"), (), TOKENS)
    assert (new_path < replaced) is sooner_anew


def test_only_new_stages_prefill_and_receive_activations():
    spare = stage("b", 32, 40, "there")
    cross_zone_ms = takeover_ms(MODEL, replace(4, spare), BEFORE, TOKENS)
    same_zone_ms = takeover_ms(MODEL, replace(4, stage("b", 32, 40)), BEFORE, TOKENS)
    assert takeover_ms(MODEL, BEFORE, BEFORE, TOKENS) == 0.0
    assert 0.0 < same_zone_ms < cross_zone_ms
    slow = {k.name: k.read_factor for k in KINDS}
    middle = takeover_ms(MODEL, replace(4, stage("b", 32, 40, kind="middle")), BEFORE, TOKENS)
    assert middle / same_zone_ms == pytest.approx(slow["middle"] / slow["small"])
