"""Messages of the peer sync: configuration, list of upstreams, and loads.

A request gives the versions that its host has, and its load. The reply holds only what is newer, so
that the traffic of a reader grows with the changes and not with the size of the site.
"""

import zlib
from typing import Any

import msgspec

from minttide.decoding import msgpack_decoder, unpack
from minttide.ids import HostId, Offset, UpstreamId, ZoneId
from minttide.layers.usage import Usage
from minttide.policy.crash_news import NO_NEWS, NewsVersion
from minttide.policy.crash_reports import CrashReport, PartBlock, PartStart
from minttide.policy.path_evidence import NO_RESULTS, PathReport
from minttide.routing.config_changes import ConfigChanges
from minttide.routing.list_history import NO_LIST_VERSION, ListChanges, ListVersion
from minttide.routing.routes import ProcessKey, RoutingConfig, UpstreamEntry

FULL_SYNC = Offset(-1)
"""Start offset of a request for everything newer; the reply may wait until there is something."""

LOADS_ONLY = Offset(-2)
"""Start offset of a request for the loads of a zone only, which is answered at once."""

CRASHES_ONLY = Offset(-3)
"""Start offset of a request that exchanges the news of crashes only, which is answered at once."""

REACH_ONLY = Offset(-4)
"""Start offset of a request that asks which upstreams the host can't reach; it probes them."""

NO_VERSION = -1

_COMPRESSION_LEVEL = 1  # the fastest, to save processor time


class CrashUpdate(msgspec.Struct, array_like=True):
    """News of crashes that the receiver lacks, with times relative to when the message was made.

    With `version`, the receiver has all news of the sender. In a request, `seen` is the version of
    the receiver's news that the sender has.
    """

    news: list[CrashReport | PartStart | PartBlock] = []
    version: NewsVersion = NO_NEWS
    seen: NewsVersion = NO_NEWS


class SyncRequest(msgspec.Struct, frozen=True):
    """A sync request.

    `usages` is the load of the requesting host, or of its whole zone with `LOADS_ONLY`.
    `list_version` is the version of the replying host's list that the requesting host has. `silent`
    are the upstreams that the requesting host can't reach; with `REACH_ONLY`, the replying host
    probes these and returns those that it can't reach either. `takes_config_changes` says that the
    requesting host can apply changes to its version of the configuration; a release before these
    leaves it out. `leaving` are processes that have said in their answers that they leave, a hint;
    releases before it neither send nor read it. `faults` are the results of recent attempts of the
    requesting host, or of its whole zone with `LOADS_ONLY`, also unknown to earlier releases.
    """

    host: HostId
    zone: ZoneId
    usages: dict[str, Usage] = {}
    config_version: int = NO_VERSION
    list_version: ListVersion = NO_LIST_VERSION
    silent: list[UpstreamId] = []
    crashes: CrashUpdate = msgspec.field(default_factory=CrashUpdate)
    takes_config_changes: bool = False
    leaving: list[ProcessKey] = []
    faults: PathReport = NO_RESULTS


class SyncReply(msgspec.Struct):
    """A sync reply. Ages are in seconds at the time of the reply.

    `held_s` is how long the request waited for changes. The configuration is sent as packed changes
    in `config_changes`, or completely and packed as `config`; both are absent if the requesting
    host has this version. The list of upstreams is sent as `changes`, or completely and
    packed as `upstreams`. `usages` is the total load of all hosts except the requesting one, and
    `silent` are the upstreams that several hosts can't reach. `blocks_known` says whether the
    replying host knows which parts of prompts were blocked before it started. `faults` are the
    results of recent attempts of all hosts except the requesting one.
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
    crashes: CrashUpdate = msgspec.field(default_factory=CrashUpdate)
    blocks_known: bool = False
    config_changes: bytes | None = None
    faults: PathReport = NO_RESULTS


encode = msgspec.msgpack.Encoder().encode
decode_reply = msgpack_decoder(SyncReply).decode
decode_request = msgpack_decoder(SyncRequest).decode

_decode_config = msgpack_decoder(RoutingConfig).decode
_decode_config_changes = msgpack_decoder(ConfigChanges).decode
_decode_entries = msgpack_decoder(list[UpstreamEntry]).decode


def pack(value: Any) -> bytes:
    """Encode and compress a configuration, its changes or a list of upstreams."""
    return zlib.compress(encode(value), _COMPRESSION_LEVEL)


def unpack_config(data: bytes) -> RoutingConfig:
    """Decode a packed configuration. Raises `MalformedBytesError`."""
    return _decode_config(unpack(data))


def unpack_config_changes(data: bytes) -> ConfigChanges:
    """Decode packed changes. Raises `MalformedBytesError`."""
    return _decode_config_changes(unpack(data))


def unpack_entries(data: bytes) -> list[UpstreamEntry]:
    """Decode a packed list of upstreams. Raises `MalformedBytesError`."""
    return _decode_entries(unpack(data))
