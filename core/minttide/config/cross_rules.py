"""Consistency rules across service files: references, uniqueness, memory and power."""

from collections.abc import Mapping, Sequence
from typing import Any

from minttide.config.decoding import suggest
from minttide.config.rules import Location, check_address, check_name, check_unique
from minttide.config.service import Engine, ModelService, PlainService, ServiceFile, Site, Upstream
from minttide.findings import Findings

KB_PER_MB = 1024
MIN_LAYER_MB = 0.001


def check_consistency(files: Mapping[str, ServiceFile], findings: Findings) -> None:
    """Check files, given by file name, for consistency with each other."""
    sites = {name: file for name, file in files.items() if isinstance(file, Site)}
    _check_service_names(files, findings)
    if not sites:
        findings.add(min(files, default="."), "$", "no file of kind 'site' among the files")
        return
    site_name, site = next(iter(sites.items()))
    seen: dict[str, set[Any]] = {"id": set(), "address": set()}
    for name, file in files.items():
        if isinstance(file, ModelService | PlainService):
            _check_members(Location(findings, name), file, site, seen)
        if isinstance(file, ModelService):
            _check_memory(Location(findings, name), file, site)
    _check_power_cap(Location(findings, site_name), site, files)


def _check_service_names(files: Mapping[str, ServiceFile], findings: Findings) -> None:
    locations = [(Location(findings, n).key("service"), f.service) for n, f in files.items()]
    check_unique(locations, "service name")


def _check_members(
    location: Location, file: ModelService | PlainService, site: Site, seen: dict[str, set[Any]]
) -> None:
    zones = [zone.name for zone in site.zones]
    accounts = [account.name for account in site.accounts]
    key = "engines" if isinstance(file, ModelService) else "upstreams"
    for index, member in enumerate(members_of(file)):
        item = location.key(key).item(index)
        check_name(item.key("id"), member.id)
        check_address(item.key("address"), member.address)
        _check_reference(item.key("zone"), "zone", member.zone, zones)
        if isinstance(member, Engine):
            kinds = [kind.name for kind in site.accelerators]
            _check_reference(item.key("accelerator"), "accelerator", member.accelerator, kinds)
        check_unique([(item.key("id"), member.id)], "id", seen["id"])
        check_unique([(item.key("address"), member.address)], "address", seen["address"])
    for index, account in enumerate(file.accounts):
        _check_reference(location.key("accounts").item(index), "account", account, accounts)


def members_of(file: ModelService | PlainService) -> Sequence[Engine | Upstream]:
    """Return the engines of a model service, or the upstreams of a plain one."""
    if isinstance(file, ModelService):
        return file.engines
    return file.upstreams


def _check_reference(location: Location, label: str, name: str, known: list[Any]) -> None:
    if name not in known:
        location.add(f"the {label} {name!r} is not in the site file{suggest(name, known)}")


def _check_memory(location: Location, file: ModelService, site: Site) -> None:
    """Check that the engines' memory holds the model and the KV cache of one longest request."""
    if not file.engines:
        return
    model = file.model
    tokens = file.max_prompt_tokens + file.max_tokens
    layer_mb = model.mb_per_layer + tokens * model.kv_kb_per_token_layer / KB_PER_MB
    memory_mb = {kind.name: kind.memory_mb for kind in site.accelerators}
    layer_mb = max(layer_mb, MIN_LAYER_MB)
    held = [memory_mb.get(e.accelerator, 0) * e.accelerators // layer_mb for e in file.engines]
    if sum(held) < model.layers:
        location.key("model").key("layers").add(
            f"the engines' memory holds {sum(held):g} layers with the KV cache of one longest"
            f" request ({layer_mb:.0f} MB a layer); the model has {model.layers}"
        )


def _check_power_cap(location: Location, site: Site, files: Mapping[str, ServiceFile]) -> None:
    """Check that the engines' lowest possible power draw is within the site's cap."""
    kinds = {kind.name: kind for kind in site.accelerators}
    models = [file for file in files.values() if isinstance(file, ModelService)]
    lowest = 0
    for engine in (engine for file in models for engine in file.engines):
        kind = kinds.get(engine.accelerator)
        if kind is not None and kind.power:
            level = kind.power[0] if engine.checks_fencing else kind.power[-1]
            lowest += level.watts * engine.accelerators
    if lowest > site.power_cap_watts:
        location.key("power_cap_watts").add(
            f"the engines draw at least {lowest} W: those that check fencing tokens at their"
            " lowest power level, the others at their highest"
        )
