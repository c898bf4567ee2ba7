"""Settings of one daemon: everything that a process can't read from the platform log."""

from enum import Enum

import msgspec

from minttide.ids import Address, HostId, ZoneId


class LogFormat(Enum):
    """The format of log lines."""

    KEY_VALUE = "key-value"
    JSON = "json"


class LogLevel(Enum):
    """The lowest level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the requests, connections and streams that one daemon accepts."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    max_connections: int = 2_000
    max_streams: int = 800
    max_queue: int = 400
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings file of `minttided`. Addresses are "<IP address>:<port>".

    `resume_secret` signs resume tokens and must be the same on every host of a site. `log_keep_s`
    is the retention time of the platform log; checkpoints are written well before records expire.
    """

    host: HostId
    zone: ZoneId
    callers: Address
    operators: Address
    peer: Address
    log_service: Address
    resume_secret: str
    host_list: Address | None = None
    peers: list[Address] = []
    domain: str = "site"
    log_level: LogLevel = LogLevel.INFO
    log_format: LogFormat = LogFormat.KEY_VALUE
    bounds: Bounds = Bounds()
    shutdown_limit_s: float = 120.0
    log_keep_s: float = 3600.0
