"""How long engines take to take a running stream over.

Answers the loss of an engine with dozens of streams: engines that take its part over read all
tokens so far. Inside a zone that is a matter of milliseconds, while across zones the activations of
all these streams pass through one link, one after the other; then another path, from its first
engine on, has the next event sooner.
"""

from collections.abc import Collection

from minttide.layers.memory import read_ms, transfer_ms
from minttide.layers.paths import Path, Stage
from minttide.routing.routes import ModelSpec

LINK_SHARERS = 3.0
"""Streams taken to wait for the same link, since an engine that is lost carried several."""


def takeover_ms(model: ModelSpec, path: Path, kept: Collection[Stage], tokens: float) -> float:
    """Return the time until a stream of so many tokens goes on along `path`.

    The stages in `kept` hold the stream already.
    """
    total_ms = 0.0
    before: Stage | None = None
    for stage in path:
        kind = model.kind(stage.kind)
        if stage not in kept and kind is not None:
            total_ms += read_ms(model, kind, len(stage.layers), tokens)
            if before is not None and before.zone != stage.zone:
                total_ms += LINK_SHARERS * transfer_ms(model, tokens)
        before = stage
    return total_ms
