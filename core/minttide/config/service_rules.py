"""Rules on single files of model services and plain services."""

import re

from minttide.config.rules import Location, Range, check_name, check_ranges, check_unique
from minttide.config.service import SITE_NAME, Call, ModelService, PlainService

MAX_VALUE = 1e9
METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")
SAFE_METHODS = ("GET", "HEAD")
CALL_PATH = re.compile(r"/[!-~]{0,255}")

MODEL_RANGES: dict[str, Range] = {
    "layers": (1, 1024),
    "mb_per_layer": (0.001, MAX_VALUE),
    "kv_kb_per_token_layer": (0, MAX_VALUE),
    "activation_kb": (0, MAX_VALUE),
    "width": (0.001, 1000),
}
MODEL_SERVICE_RANGES: dict[str, Range] = {
    "max_tokens": (1, 65_536),
    "max_prompt_tokens": (1, 1_000_000),
    "deadline_ms": (1, 3_600_000),
    "first_token_ms": (1, 600_000),
    "between_tokens_ms": (1, 60_000),
    "weight": (0.001, 1e6),
}
PLAIN_SERVICE_RANGES: dict[str, Range] = {"deadline_ms": (1, 600_000), "max_body_kb": (1, 1024)}


def check_model_service(location: Location, file: ModelService) -> None:
    """Check the file of a model service by itself."""
    _check_service_name(location, file.service)
    check_ranges(location.key("model"), file.model, MODEL_RANGES)
    check_ranges(location, file, MODEL_SERVICE_RANGES)
    check_name(location.key("version"), file.version)
    if file.first_token_ms > file.deadline_ms:
        location.key("first_token_ms").add("must not be above deadline_ms")
    if not file.engines:
        location.key("engines").add("at least one engine is needed")
    for index, engine in enumerate(file.engines):
        check_ranges(location.key("engines").item(index), engine, {"accelerators": (1, 64)})
    _check_names(location, "adapters", list(file.adapters))
    _check_names(location, "accounts", list(file.accounts))


def check_plain_service(location: Location, file: PlainService) -> None:
    """Check the file of a plain service by itself."""
    _check_service_name(location, file.service)
    check_ranges(location, file, PLAIN_SERVICE_RANGES)
    if not file.upstreams and file.discover is None:
        location.add("either 'upstreams' or 'discover' must be given")
    if file.discover is not None:
        check_name(location.key("discover"), file.discover)
    _check_names(location, "accounts", list(file.accounts))
    calls = location.key("calls")
    if not file.calls:
        calls.add("at least one call is needed")
    for index, call in enumerate(file.calls):
        _check_call(calls.item(index), call, file.deadline_ms)
    check_unique(((calls.item(i), (c.method, c.path)) for i, c in enumerate(file.calls)), "call")


def _check_call(location: Location, call: Call, deadline_ms: int) -> None:
    if call.method not in METHODS:
        location.key("method").add(f"must be one of {', '.join(METHODS)}")
    if not CALL_PATH.fullmatch(call.path):
        location.key("path").add("must begin with '/' and have at most 256 printable characters")
    if call.method in SAFE_METHODS and not call.idempotent:
        location.key("idempotent").add(f"a {call.method} call must be idempotent")
    check_ranges(location, call, {"timeout_ms": (1, deadline_ms)})


def _check_service_name(location: Location, name: str) -> None:
    check_name(location.key("service"), name)
    if name == SITE_NAME:
        location.key("service").add(f"{SITE_NAME!r} is reserved for the site file")


def _check_names(location: Location, key: str, names: list[str]) -> None:
    locations = [(location.key(key).item(i), name) for i, name in enumerate(names)]
    for item, name in locations:
        check_name(item, name)
    check_unique(locations, "name")
