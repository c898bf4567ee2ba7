"""Estimates how long engines take to take over a running stream.

Engines that replace a lost one must first run the prefill of all tokens so far. That takes
milliseconds inside a zone. Across zones, the activations of all affected streams pass through one
link in turn, and a restart on another path, from its first engine on, may yield the next event
sooner.
"""

from collections.abc import Collection

from minttide.layers.memory import prefill_ms, transfer_ms
from minttide.layers.paths import Path, Stage
from minttide.routing.routes import ModelSpec

STREAMS_PER_LINK = 3.0
"""Assumed number of streams that wait for the same link, since a lost engine carried several."""


def takeover_ms(model: ModelSpec, path: Path, kept: Collection[Stage], tokens: float) -> float:
    """Return the time until a stream of `tokens` tokens continues along `path`.

    The stages in `kept` already hold the stream's tokens.
    """
    total_ms = 0.0
    previous: Stage | None = None
    for stage in path:
        kind = model.kind(stage.kind)
        if stage not in kept and kind is not None:
            total_ms += prefill_ms(model, kind, len(stage.layers), tokens)
            if previous is not None and previous.zone != stage.zone:
                total_ms += STREAMS_PER_LINK * transfer_ms(model, tokens)
        previous = stage
    return total_ms
