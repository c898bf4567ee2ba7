"""The demo's site: services of both example deployments on the zones of one of them."""

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
ENGINES_A_KIND = 4
"""Engines of each kind that are taken from each deployment, so that one process carries them."""

ANSWER_KEEP_S = 1.0
WEIGHT_MB_PER_S = 400_000.0
"""Far above a real store, so that the demo doesn't spend its time on loading weights."""


@dataclass(frozen=True)
class Deployment:
    """One example deployment as its files describe it."""

    site: Site
    models: list[ModelService]
    plain: list[PlainService]


def read_deployment(directory: Path) -> Deployment:
    """Read the files below a directory. Raises `CheckError` with every finding."""
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

    The zones are the first deployment's; those of the others are put in their place one by one.
    Raises `CheckError`.
    """
    found = [read_deployment(examples / name) for name in DEPLOYMENTS]
    zones = [zone.name for zone in found[0].site.zones]
    moved = [_move(deployment, zones) for deployment in found]
    files: list[ServiceFile] = [_merge_sites(found, moved)]
    for deployment in moved:
        files += [*deployment.models, *deployment.plain]
    return files


def _move(deployment: Deployment, zones: Sequence[ZoneId]) -> Deployment:
    own = [zone.name for zone in deployment.site.zones]
    places = dict(zip(own, zones, strict=True))
    models = [
        msgspec.structs.replace(
            model,
            engines=[
                msgspec.structs.replace(engine, zone=places[engine.zone])
                for engine in _pick_engines(model.engines)
            ],
        )
        for model in deployment.models
    ]
    plain = [
        msgspec.structs.replace(
            service,
            upstreams=[
                msgspec.structs.replace(upstream, zone=places[upstream.zone])
                for upstream in service.upstreams
            ],
        )
        for service in deployment.plain
    ]
    return Deployment(deployment.site, models, plain)


def _pick_engines(engines: Sequence[Engine]) -> list[Engine]:
    """Return the last engines of each kind; those that ignore fencing numbers are among them."""
    kinds = dict.fromkeys(engine.accelerator for engine in engines)
    picked = []
    for kind in kinds:
        picked += [engine for engine in engines if engine.accelerator == kind][-ENGINES_A_KIND:]
    return picked


def _merge_sites(found: Sequence[Deployment], moved: Sequence[Deployment]) -> Site:
    first = found[0].site
    store = first.weight_store
    return msgspec.structs.replace(
        first,
        power_cap_watts=sum(map(_scaled_cap, found, moved)),
        accounts=[account for deployment in found for account in deployment.site.accounts],
        answer_keep_s=ANSWER_KEEP_S,
        weight_store=store and msgspec.structs.replace(store, mb_per_s=WEIGHT_MB_PER_S),
    )


def _scaled_cap(whole: Deployment, part: Deployment) -> int:
    """Return the cap in proportion to the power that the picked engines may draw."""
    return int(whole.site.power_cap_watts * _top_watts(part) / _top_watts(whole))


def _top_watts(deployment: Deployment) -> int:
    top = {kind.name: kind.power[-1].watts for kind in deployment.site.accelerators}
    return sum(
        top[engine.accelerator] * engine.accelerators
        for model in deployment.models
        for engine in model.engines
    )
