"""Settings of one gateway, read from a JSON file that the platform renders with the addresses."""

from typing import Annotated

import msgspec

from minttide.config.settings import LogFormat, LogLevel
from minttide.ids import Address, HostId, ZoneId
from minttide.policy.shared_retries import RetryLimit

MemoryMb = Annotated[float, msgspec.Meta(ge=64.0)]


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Graceful shutdown. `grace_s` is the time between SIGTERM and SIGKILL."""

    grace_s: float = 8.0


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings file of a gateway. Addresses are "<IP address>:<port>", times are in seconds.

    `keys_valid_s` is the longest time that a revoked API key may still be accepted, and
    `answer_keep_s` is how long callers may cache the addresses of the directory. A new
    configuration must be in force within `apply_s`, and an upstream that is leaving must receive no
    requests after `drain_s`. The process is ended if it uses more than `memory_mb` MiB. With
    `fault_tracking`, engines that fail requests are found by the results of attempts and avoided.
    With `load_balancing`, hosts share what they see of the load of plain services' upstreams and
    their own load, and choose upstreams, and the hosts that the directory names, by it. With
    `priority_admission`, streams are admitted by priority where a service's requests differ in it.
    """

    host: HostId
    zone: ZoneId
    callers: Address
    directory: Address
    health: Address
    peer: Address
    metrics: Address
    store: Address
    peers: list[Address] = []
    answer_keep_s: float = 1.0
    keys_valid_s: float = 5.0
    apply_s: float = 2.0
    drain_s: float = 2.0
    stop: StopSettings = StopSettings()
    retries: RetryLimit = RetryLimit()
    max_connections: int = 2_000
    memory_mb: MemoryMb = 300.0
    fault_tracking: bool = False
    load_balancing: bool = False
    priority_admission: bool = False
    log_level: LogLevel = LogLevel.INFO
    log_format: LogFormat = LogFormat.KEY_VALUE

    @property
    def memory_bytes(self) -> int:
        """Return the memory that the process may use, in bytes."""
        return int(self.memory_mb * 1024 * 1024)
