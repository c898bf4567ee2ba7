"""Builds the demo's site: the services of both example deployments in one set of zones."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from minttide.config.checks import check_service_files
from minttide.config.service import (
    Engine,
    ModelService,
    PlainService,
    ServiceFile,
    Site,
    ZoneId,
)
from minttide.findings import CheckError
from minttide_cli.files import collect_files

DEPLOYMENTS = ("bureau", "zaloga")
MAX_ENGINES_PER_KIND = 4
"""Engines of each accelerator kind used from each deployment, so that one process can run them."""

ANSWER_KEEP_S = 1.0
WEIGHT_MB_PER_S = 400_000.0
"""Much faster than a real store, so that the demo doesn't wait for weights to load."""


@dataclass(frozen=True)
class Deployment:
    """The service files of one example deployment."""

    site: Site
    models: list[ModelService]
    plain: list[PlainService]


def read_deployment(directory: Path) -> Deployment:
    """Read the service files below a directory. Raises `CheckError` with all findings."""
    result = check_service_files(collect_files(directory))
    if result.is_error():
        raise CheckError(result.error)
    files = list(result.ok.values())
    return Deployment(
        next(f for f in files if isinstance(f, Site)),
        [f for f in files if isinstance(f, ModelService)],
        [f for f in files if isinstance(f, PlainService)],
    )


def make_demo_files(examples: Path) -> list[ServiceFile]:
    """Return the files of one site that runs the services of all deployments in `examples`.

    The zones are those of the first deployment; those of the others are mapped to them in order.
    Raises `CheckError`.
    """
    found = [read_deployment(examples / name) for name in DEPLOYMENTS]
    zones = [zone.name for zone in found[0].site.zones]
    mapped = [_map_zones(deployment, zones) for deployment in found]
    files: list[ServiceFile] = [_merge_sites(found, mapped)]
    for deployment in mapped:
        files += [*deployment.models, *deployment.plain]
    return files


def _map_zones(deployment: Deployment, zones: Sequence[ZoneId]) -> Deployment:
    own = [zone.name for zone in deployment.site.zones]
    zone_map = dict(zip(own, zones, strict=True))
    models = [
        msgspec.structs.replace(
            model,
            engines=[
                msgspec.structs.replace(engine, zone=zone_map[engine.zone])
                for engine in _pick_engines(model.engines)
            ],
        )
        for model in deployment.models
    ]
    plain = [
        msgspec.structs.replace(
            service,
            upstreams=[
                msgspec.structs.replace(upstream, zone=zone_map[upstream.zone])
                for upstream in service.upstreams
            ],
        )
        for service in deployment.plain
    ]
    return Deployment(deployment.site, models, plain)


def _pick_engines(engines: Sequence[Engine]) -> list[Engine]:
    """Return the last engines of each kind, which include those that ignore fencing tokens."""
    kinds = dict.fromkeys(engine.accelerator for engine in engines)
    picked = []
    for kind in kinds:
        picked += [engine for engine in engines if engine.accelerator == kind][
            -MAX_ENGINES_PER_KIND:
        ]
    return picked


def _merge_sites(found: Sequence[Deployment], mapped: Sequence[Deployment]) -> Site:
    first = found[0].site
    store = first.weight_store
    return msgspec.structs.replace(
        first,
        power_cap_watts=sum(map(_scale_power_cap, found, mapped)),
        accounts=[account for deployment in found for account in deployment.site.accounts],
        answer_keep_s=ANSWER_KEEP_S,
        weight_store=store and msgspec.structs.replace(store, mb_per_s=WEIGHT_MB_PER_S),
    )


def _scale_power_cap(full: Deployment, picked: Deployment) -> int:
    """Return the power cap scaled by the maximum power of the picked engines."""
    return int(full.site.power_cap_watts * _max_watts(picked) / _max_watts(full))


def _max_watts(deployment: Deployment) -> int:
    max_watts = {kind.name: kind.power[-1].watts for kind in deployment.site.accelerators}
    return sum(
        max_watts[engine.accelerator] * engine.accelerators
        for model in deployment.models
        for engine in model.engines
    )
