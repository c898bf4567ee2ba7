"""Identifier types shared by the packages. Only the module that creates a value may parse it."""

from typing import NewType

HostId = NewType("HostId", str)
Incarnation = NewType("Incarnation", int)  # milliseconds since the epoch at process start
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
AccountId = NewType("AccountId", str)
ServiceName = NewType("ServiceName", str)
UpstreamId = NewType("UpstreamId", str)  # an engine or a plain service process
ModelVersion = NewType("ModelVersion", str)
AdapterName = NewType("AdapterName", str)
StreamName = NewType("StreamName", str)  # a stream of the platform log
Offset = NewType("Offset", int)
RequestId = NewType("RequestId", str)
PublishId = NewType("PublishId", str)
ClaimId = NewType("ClaimId", str)  # "<host>/<incarnation>/<sequence>"
PromptPart = NewType("PromptPart", str)  # a part of a prompt that several requests may share
IdempotencyKey = NewType("IdempotencyKey", str)
ChainId = NewType("ChainId", str)
Address = NewType("Address", str)  # "<IP address>:<port>"

NO_OFFSET = Offset(-1)
"""The offset before any record was read; offsets of records start at 0."""

CONFIG_STREAM = StreamName("config")


def key_stream(shard: int) -> StreamName:
    """Return the name of the log stream with the idempotency keys of one shard."""
    return StreamName(f"keys-{shard}")


def placement_stream(domain: str) -> StreamName:
    """Return the name of the log stream with the leases and plans of one placement domain."""
    return StreamName(f"placement-{domain}")
