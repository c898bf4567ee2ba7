"""Whether a stream that has lost an engine goes on sooner along a changed path or anew."""

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
def test_moving_is_sooner_inside_a_zone_and_a_path_elsewhere_where_links_are_slow(
    spare, sooner_anew
):
    """Replays the loss of one engine of ten, with its spare in the same or in another zone."""
    moved = takeover_ms(SLOW_LINK, replace(4, spare), BEFORE, TOKENS)
    anew = takeover_ms(SLOW_LINK, chain("c", "there", "middle"), (), TOKENS)
    assert (anew < moved) is sooner_anew


def test_only_new_stages_read_and_only_they_need_the_activations():
    spare = stage("b", 32, 40, "there")
    whole = takeover_ms(MODEL, replace(4, spare), BEFORE, TOKENS)
    reading = takeover_ms(MODEL, replace(4, stage("b", 32, 40)), BEFORE, TOKENS)
    assert takeover_ms(MODEL, BEFORE, BEFORE, TOKENS) == 0.0
    assert 0.0 < reading < whole
    slow = {k.name: k.read_factor for k in KINDS}
    middle = takeover_ms(MODEL, replace(4, stage("b", 32, 40, kind="middle")), BEFORE, TOKENS)
    assert middle / reading == pytest.approx(slow["middle"] / slow["small"])
