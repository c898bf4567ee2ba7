"""Settings of one gateway, in JSON; the platform fills in the addresses."""

import msgspec

from minttide.config.settings import LogFormat, LogLevel
from minttide.ids import Address, HostId, ZoneId


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A planned stop: `grace_s` is the time until the process is killed."""

    grace_s: float = 8.0


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on sends beyond the first of each request, over all hosts.

    In any `window_s`, a service may get `share` of its requests and `slack` more.
    """

    share: float = 0.2
    slack: float = 100.0
    window_s: float = 10.0


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings file of a gateway. Addresses are "<IP number>:<port>", times are in seconds.

    `keys_valid_s` is how long a revoked key may still be accepted; `answer_keep_s` is how long
    callers may keep an answer about addresses. `apply_s` is the time in which a configuration must
    be in force, `drain_s` that after which a leaving upstream gets nothing more.
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
    retries: RetrySettings = RetrySettings()
    max_connections: int = 2_000
    log_level: LogLevel = LogLevel.INFO
    log_format: LogFormat = LogFormat.KEY_VALUE
