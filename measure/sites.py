"""Sites for measurements: today's two deployments, and one zone of the planned size."""

import random

from minttide.config.service import (
    AcceleratorKind,
    Account,
    Engine,
    Link,
    Model,
    ModelService,
    PowerLevel,
    Site,
    WeightStore,
    Zone,
)
from minttide.ids import AccountId, Address, ModelVersion, ServiceName, UpstreamId, ZoneId

KINDS = [
    AcceleratorKind(
        name="large",
        memory_mb=80_000,
        decode_us=120.0,
        decode_stream_us=2.0,
        prefill_us=4.0,
        power=[PowerLevel(300, 0.62), PowerLevel(450, 0.85), PowerLevel(700, 1.0)],
    ),
    AcceleratorKind(
        name="medium",
        memory_mb=48_000,
        decode_us=260.0,
        decode_stream_us=4.0,
        prefill_us=10.0,
        power=[PowerLevel(150, 0.60), PowerLevel(220, 0.86), PowerLevel(350, 1.0)],
    ),
    AcceleratorKind(
        name="small",
        memory_mb=24_000,
        decode_us=420.0,
        decode_stream_us=9.0,
        prefill_us=22.0,
        power=[PowerLevel(60, 0.55), PowerLevel(100, 0.84), PowerLevel(170, 1.0)],
    ),
]
"""Three kinds, whose highest power levels add little speed for much power."""

KIND_FRACTIONS = {"large": 0.25, "medium": 0.40, "small": 0.35}
CAP_FRACTION = 0.70
"""Power cap, as a fraction of the draw of all engines at their highest levels."""

ZONES = ["a", "b", "c"]


def build_site(cap_watts: int, accounts: int = 10, zones: list[str] | None = None) -> Site:
    """Build a site file with links of 0.3 ms between its zones."""
    names = [ZoneId(z) for z in zones or ZONES]
    links = [Link(a, b, 0.3, 10_000.0) for i, a in enumerate(names) for b in names[i + 1 :]]
    return Site(
        service=ServiceName("site"),
        power_cap_watts=cap_watts,
        zones=[Zone(z) for z in names],
        links=links,
        accelerators=KINDS,
        accounts=[Account(AccountId(f"account-{i}"), "0" * 64) for i in range(accounts)],
        weight_store=WeightStore(Address("127.0.0.1:1"), 2_000.0),
    )


def build_engines(count: int, seed: int, zones: list[str] | None = None) -> list[Engine]:
    """Build engines of mixed kinds over the zones; one in six ignores fencing tokens."""
    rng = random.Random(seed)
    names = [n for n, fraction in KIND_FRACTIONS.items() for _ in range(round(fraction * count))]
    names = (names + ["medium"] * count)[:count]
    rng.shuffle(names)
    zone_names = zones or ZONES
    return [
        Engine(
            UpstreamId(f"engine-{i:03}"),
            Address(f"127.0.0.1:{10_000 + i}"),
            ZoneId(zone_names[i % len(zone_names)]),
            kind,
            checks_fencing=i % 6 != 0,
        )
        for i, kind in enumerate(names)
    ]


def total_max_watts(engines: list[Engine]) -> int:
    """Return the total draw of the engines at their highest levels."""
    max_watts = {k.name: k.power[-1].watts for k in KINDS}
    return sum(max_watts[e.accelerator] * e.accelerators for e in engines)


def _service(name: str, engines: list[Engine], model: Model) -> ModelService:
    return ModelService(
        service=ServiceName(name),
        model=model,
        version=ModelVersion("v1"),
        engines=engines,
        max_tokens=512,
        max_prompt_tokens=4096,
    )


BUREAU_MODEL = Model(48, 1_450.0, 4.0, 16.0)
ZALOGA_MODEL = Model(64, 1_700.0, 4.0, 16.0, width=1.1)


def bureau(seed: int, count: int = 40) -> tuple[Site, list[ModelService]]:
    """Build the Bureau's site: about forty drafting engines in three zones."""
    engines = build_engines(count, seed)
    site = build_site(int(CAP_FRACTION * total_max_watts(engines)))
    return site, [_service("drafts", engines, BUREAU_MODEL)]


def zaloga(seed: int, count: int = 40) -> tuple[Site, list[ModelService]]:
    """Build Zaloga's site: about forty commentary engines and a larger model."""
    engines = build_engines(count, seed + 1)
    site = build_site(int(CAP_FRACTION * total_max_watts(engines)))
    return site, [_service("commentary", engines, ZALOGA_MODEL)]


def planned_zone(seed: int, count: int = 300) -> tuple[Site, list[ModelService]]:
    """Build one availability zone of the planned size."""
    engines = build_engines(count, seed + 2, ["a"])
    site = build_site(int(CAP_FRACTION * total_max_watts(engines)), 320, ["a"])
    return site, [_service("drafts", engines, BUREAU_MODEL)]
