"""Identifiers that the packages share. Each is opaque outside the module that makes it."""

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
IdempotencyKey = NewType("IdempotencyKey", str)
ChainId = NewType("ChainId", str)
Address = NewType("Address", str)  # "<IP number>:<port>"

NO_OFFSET = Offset(-1)
"""Stands where no record has been seen yet; real offsets start at 0."""

CONFIG_STREAM = StreamName("config")


def key_stream(shard: int) -> StreamName:
    """Name the log stream that holds the idempotency keys of one shard."""
    return StreamName(f"keys-{shard}")


def placement_stream(domain: str) -> StreamName:
    """Name the log stream that holds the leases and plans of one placement domain."""
    return StreamName(f"placement-{domain}")
