"""Checks of a daemon's settings."""

from expression import Error, Ok, Result

from minttide.config.decoding import decode_json
from minttide.config.rules import Location, Range, check_address, check_name, check_ranges
from minttide.config.settings import Settings
from minttide.findings import Findings

MIN_SECRET_CHARS = 16

BOUND_RANGES: dict[str, Range] = {
    "max_header_bytes": (1024, 1024 * 1024),
    "max_body_bytes": (1024, 64 * 1024 * 1024),
    "max_connections": (1, 100_000),
    "max_streams": (1, 100_000),
    "max_queue": (0, 100_000),
    "header_timeout_s": (0.1, 300),
}
SETTINGS_RANGES: dict[str, Range] = {
    "shutdown_limit_s": (1, 3600),
    "log_keep_s": (60, 366 * 24 * 3600),
}
LISTEN_KEYS = ("callers", "operators", "peer")


def check_settings(name: str, text: bytes) -> Result[Settings, Findings]:
    """Decode and check the text of a settings file; return the settings or all findings."""
    findings = Findings()
    cfg: Settings | None = decode_json(name, text, Settings, findings)
    if cfg is not None:
        _check_values(Location(findings, name), cfg)
    return Ok(cfg) if cfg is not None and not findings else Error(findings)


def _check_values(location: Location, cfg: Settings) -> None:
    for key in ("host", "zone", "domain"):
        check_name(location.key(key), getattr(cfg, key))
    for key in LISTEN_KEYS:
        check_address(location.key(key), getattr(cfg, key), allow_any_port=True)
    check_address(location.key("log_service"), cfg.log_service)
    if cfg.host_list is not None:
        check_address(location.key("host_list"), cfg.host_list)
    for index, peer in enumerate(cfg.peers):
        check_address(location.key("peers").item(index), peer)
    if len(cfg.resume_secret) < MIN_SECRET_CHARS:
        location.key("resume_secret").add(f"must have at least {MIN_SECRET_CHARS} characters")
    check_ranges(location.key("bounds"), cfg.bounds, BOUND_RANGES)
    check_ranges(location, cfg, SETTINGS_RANGES)
    _check_distinct(location, cfg)


def _check_distinct(location: Location, cfg: Settings) -> None:
    """Check that no two listen addresses are the same, except with port 0."""
    seen: dict[str, str] = {}
    for key in LISTEN_KEYS:
        address = getattr(cfg, key)
        if address.endswith(":0"):
            continue
        if address in seen:
            location.key(key).add(f"the same address as {seen[address]!r}")
        seen.setdefault(address, key)
