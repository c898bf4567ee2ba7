"""Rules on files of model services and plain services."""

import re

from minttide.config.rules import Place, Range, check_name, check_ranges, check_unique
from minttide.config.service import SITE_NAME, Call, ModelService, PlainService

MANY = 1e9
METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")
SAFE_METHODS = ("GET", "HEAD")
CALL_PATH = re.compile(r"/[!-~]{0,255}")

SHAPE_RANGES: dict[str, Range] = {
    "layers": (1, 1024),
    "mb_per_layer": (0.001, MANY),
    "kv_kb_per_token_layer": (0, MANY),
    "activation_kb": (0, MANY),
    "width": (0.001, 1000),
}
MODEL_RANGES: dict[str, Range] = {
    "max_tokens": (1, 65_536),
    "max_prompt_tokens": (1, 1_000_000),
    "deadline_ms": (1, 3_600_000),
    "first_token_ms": (1, 600_000),
    "between_tokens_ms": (1, 60_000),
    "weight": (0.001, 1e6),
}
PLAIN_RANGES: dict[str, Range] = {"deadline_ms": (1, 600_000), "max_body_kb": (1, 1024)}


def check_model_service(place: Place, file: ModelService) -> None:
    """Check all that can be said of a model service's file by itself."""
    _check_service_name(place, file.service)
    check_ranges(place.key("model"), file.model, SHAPE_RANGES)
    check_ranges(place, file, MODEL_RANGES)
    check_name(place.key("version"), file.version)
    if file.first_token_ms > file.deadline_ms:
        place.key("first_token_ms").add("must not be above deadline_ms")
    if not file.engines:
        place.key("engines").add("at least one engine is needed")
    for index, engine in enumerate(file.engines):
        check_ranges(place.key("engines").item(index), engine, {"accelerators": (1, 64)})
    _check_names(place, "adapters", list(file.adapters))
    _check_names(place, "accounts", list(file.accounts))


def check_plain_service(place: Place, file: PlainService) -> None:
    """Check all that can be said of a plain service's file by itself."""
    _check_service_name(place, file.service)
    check_ranges(place, file, PLAIN_RANGES)
    if not file.upstreams and file.discover is None:
        place.add("either 'upstreams' or 'discover' must say where the service is")
    if file.discover is not None:
        check_name(place.key("discover"), file.discover)
    _check_names(place, "accounts", list(file.accounts))
    calls = place.key("calls")
    if not file.calls:
        calls.add("at least one call is needed")
    for index, call in enumerate(file.calls):
        _check_call(calls.item(index), call, file.deadline_ms)
    check_unique(((calls.item(i), (c.method, c.path)) for i, c in enumerate(file.calls)), "call")


def _check_call(place: Place, call: Call, deadline_ms: int) -> None:
    if call.method not in METHODS:
        place.key("method").add(f"must be one of {', '.join(METHODS)}")
    if not CALL_PATH.fullmatch(call.path):
        place.key("path").add("must begin with '/' and have at most 256 printable characters")
    if call.method in SAFE_METHODS and not call.idempotent:
        place.key("idempotent").add(f"a {call.method} call must be idempotent")
    check_ranges(place, call, {"timeout_ms": (1, deadline_ms)})


def _check_service_name(place: Place, name: str) -> None:
    check_name(place.key("service"), name)
    if name == SITE_NAME:
        place.key("service").add(f"{SITE_NAME!r} is the name of the site file")


def _check_names(place: Place, key: str, names: list[str]) -> None:
    places = [(place.key(key).item(i), name) for i, name in enumerate(names)]
    for at, name in places:
        check_name(at, name)
    check_unique(places, "name")
