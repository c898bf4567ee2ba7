"""The whole check of a daemon's settings."""

from expression import Error, Ok, Result

from minttide.config.rules import Place, Range, check_address, check_name, check_ranges
from minttide.config.settings import Settings
from minttide.config.shape import decode_checked
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
CFG_RANGES: dict[str, Range] = {
    "shutdown_limit_s": (1, 3600),
    "log_keep_s": (60, 366 * 24 * 3600),
}
LISTENED = ("callers", "operators", "peer")


def check_settings(name: str, text: bytes) -> Result[Settings, Findings]:
    """Check the text of a settings file; return the settings or every finding."""
    findings = Findings()
    cfg: Settings | None = decode_checked(name, text, Settings, findings)
    if cfg is not None:
        _check(Place(findings, name), cfg)
    return Ok(cfg) if cfg is not None and not findings else Error(findings)


def _check(place: Place, cfg: Settings) -> None:
    for key in ("host", "zone", "domain"):
        check_name(place.key(key), getattr(cfg, key))
    for key in LISTENED:
        check_address(place.key(key), getattr(cfg, key), allow_any_port=True)
    check_address(place.key("log_service"), cfg.log_service)
    if cfg.host_list is not None:
        check_address(place.key("host_list"), cfg.host_list)
    for index, peer in enumerate(cfg.peers):
        check_address(place.key("peers").item(index), peer)
    if len(cfg.resume_secret) < MIN_SECRET_CHARS:
        place.key("resume_secret").add(f"must have at least {MIN_SECRET_CHARS} characters")
    check_ranges(place.key("bounds"), cfg.bounds, BOUND_RANGES)
    check_ranges(place, cfg, CFG_RANGES)
    _check_distinct(place, cfg)


def _check_distinct(place: Place, cfg: Settings) -> None:
    seen: dict[str, str] = {}
    for key in LISTENED:
        address = getattr(cfg, key)
        if address.endswith(":0"):
            continue
        if address in seen:
            place.key(key).add(f"the same address as {seen[address]!r}")
        seen.setdefault(address, key)
