"""What hosts tell each other: the configuration, the list of upstreams, and what they have running.

The answer to a question for news holds what the asking host lacks. The question itself says what
that host has running, so that no other message is needed for it.
"""

import hashlib
from collections.abc import Sequence

import msgspec

from minttide.ids import HostId, Offset, UpstreamId, ZoneId
from minttide.layers.usage import Usage
from minttide.routing.routes import RoutingConfig, UpstreamEntry

NO_NEWS = Offset(-1)
"""Stands for a host that knows nothing yet."""

LOADS_ONLY = Offset(-2)
"""Asks for what runs in a zone, at once and without anything else."""

_DIGEST_BYTES = 7


class Note(msgspec.Struct, frozen=True):
    """What a question says of its host, or of its whole zone in a question of `LOADS_ONLY`."""

    host: HostId
    zone: ZoneId
    usages: dict[UpstreamId, Usage] = {}


class News(msgspec.Struct):
    """What a reader knows. The ages are in seconds, as of the answer.

    `held_s` is how long the question was held. `config` and `upstreams` are absent when the asking
    host has them. `usages` is what all hosts but the asking one have running.
    """

    held_s: float
    config_age_s: float
    upstreams_age_s: float
    config: RoutingConfig | None = None
    upstreams: list[UpstreamEntry] | None = None
    usages: dict[UpstreamId, Usage] = {}


encode = msgspec.msgpack.Encoder().encode
decode_news = msgspec.msgpack.Decoder(News).decode
decode_note = msgspec.msgpack.Decoder(Note).decode


def digest(config: RoutingConfig | None, upstreams: Sequence[UpstreamEntry] | None) -> Offset:
    """Return a number that stands for a configuration and a list of upstreams."""
    found = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    found.update(str(config.version if config else None).encode())
    if upstreams is not None:
        found.update(encode(sorted(upstreams, key=lambda u: u.id)))
    return Offset(int.from_bytes(found.digest(), "big"))
