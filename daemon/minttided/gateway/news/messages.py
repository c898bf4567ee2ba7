"""What hosts tell each other: the configuration, the list of upstreams, and what they have running.

The question for news says what the asking host knows and has running, the answer holds what it
lacks. So the bytes that a reader sends follow what changes, not the size of the site.
"""

import zlib
from typing import Any

import msgspec

from minttide.ids import HostId, Offset, UpstreamId, ZoneId
from minttide.layers.usage import Usage
from minttide.routing.list_history import NO_LIST_VERSION, ListChanges, ListVersion
from minttide.routing.routes import RoutingConfig, UpstreamEntry

NEWS = Offset(-1)
"""Asks for news, which may be held until there are any."""

LOADS_ONLY = Offset(-2)
"""Asks for what runs in a zone, at once and without anything else."""

NO_VERSION = -1

_LEVEL = 1  # of the compression, which is to cost little processor time


class Note(msgspec.Struct, frozen=True):
    """What a question says of its host, or of its whole zone in a question of `LOADS_ONLY`.

    `list_version` is that of the answering host's list which the asking host has. `silent` are
    upstreams that the asking host can't reach.
    """

    host: HostId
    zone: ZoneId
    usages: dict[str, Usage] = {}
    config_version: int = NO_VERSION
    list_version: ListVersion = NO_LIST_VERSION
    silent: list[UpstreamId] = []


class News(msgspec.Struct):
    """What a reader knows. The ages are in seconds, as of the answer.

    `held_s` is how long the question was held. `config` is packed, and absent when the asking host
    has it. The list comes as its changes, or whole and packed. `usages` is what all hosts but the
    asking one have running, `silent` the upstreams that several hosts can't reach.
    """

    held_s: float
    config_age_s: float
    upstreams_age_s: float
    usages: dict[str, Usage] = {}
    config: bytes | None = None
    list_version: ListVersion = NO_LIST_VERSION
    changes: ListChanges | None = None
    upstreams: bytes | None = None
    silent: list[UpstreamId] = []


encode = msgspec.msgpack.Encoder().encode
decode_news = msgspec.msgpack.Decoder(News).decode
decode_note = msgspec.msgpack.Decoder(Note).decode

_decode_config = msgspec.msgpack.Decoder(RoutingConfig).decode
_decode_entries = msgspec.msgpack.Decoder(list[UpstreamEntry]).decode


def pack(found: Any) -> bytes:
    """Encode and compress a configuration or a list of upstreams."""
    return zlib.compress(encode(found), _LEVEL)


def unpack_config(data: bytes) -> RoutingConfig:
    """Undo `pack` for a configuration. Raises `msgspec.DecodeError` or `zlib.error`."""
    return _decode_config(zlib.decompress(data))


def unpack_entries(data: bytes) -> list[UpstreamEntry]:
    """Undo `pack` for a list of upstreams. Raises `msgspec.DecodeError` or `zlib.error`."""
    return _decode_entries(zlib.decompress(data))
