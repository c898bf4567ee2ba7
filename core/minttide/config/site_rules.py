"""Rules on the site file by itself."""

from itertools import combinations, pairwise

from minttide.config.rules import (
    SHA256_PATTERN,
    Location,
    Range,
    check_address,
    check_name,
    check_ranges,
    check_unique,
)
from minttide.config.service import SITE_NAME, AcceleratorKind, Account, Link, Site, ZoneId

MAX_VALUE = 1e9

SITE_RANGES: dict[str, Range] = {
    "power_cap_watts": (1, MAX_VALUE),
    "key_shards": (1, 1024),
    "key_memory_s": (600, 30 * 24 * 3600),
    "answer_keep_s": (0.1, 300),
}
LINK_RANGES: dict[str, Range] = {"one_way_ms": (0, 1000), "mbit_per_s": (0.001, MAX_VALUE)}
ACCELERATOR_RANGES: dict[str, Range] = {
    "memory_mb": (1, MAX_VALUE),
    "decode_us": (0.001, MAX_VALUE),
    "decode_stream_us": (0, MAX_VALUE),
    "prefill_us": (0.001, MAX_VALUE),
}
ACCOUNT_RANGES: dict[str, Range] = {
    "weight": (0.001, 1e6),
    "max_streams": (1, 1e6),
    "requests_per_s": (0.001, 1e6),
    "priority": (-100, 100),
}


def check_site(location: Location, site: Site) -> None:
    """Check the site file by itself."""
    if site.service != SITE_NAME:
        location.key("service").add(f"the site file's service must be {SITE_NAME!r}")
    check_ranges(location, site, SITE_RANGES)
    _check_zones(location, site)
    _check_links(location.key("links"), site)
    _check_kinds(location.key("accelerators"), site.accelerators)
    _check_accounts(location.key("accounts"), site.accounts)
    if site.weight_store is not None:
        check_address(location.key("weight_store").key("address"), site.weight_store.address)
        check_ranges(
            location.key("weight_store"), site.weight_store, {"mb_per_s": (0.001, MAX_VALUE)}
        )


def _check_zones(location: Location, site: Site) -> None:
    zones = location.key("zones")
    if not site.zones:
        zones.add("at least one availability zone is needed")
    names = [(zones.item(i).key("name"), zone.name) for i, zone in enumerate(site.zones)]
    for item, name in names:
        check_name(item, name)
    check_unique(names, "zone")


def _check_links(location: Location, site: Site) -> None:
    known = {zone.name for zone in site.zones}
    for index, link in enumerate(site.links):
        _check_link(location.item(index), link, known)
    check_unique(
        ((location.item(i), _zone_pair(link.a, link.b)) for i, link in enumerate(site.links)),
        "link",
    )
    linked = {_zone_pair(link.a, link.b) for link in site.links}
    for a, b in combinations(sorted(known), 2):
        if _zone_pair(a, b) not in linked:
            location.add(f"the link between {a!r} and {b!r} is missing")


def _check_link(location: Location, link: Link, known: set[ZoneId]) -> None:
    check_ranges(location, link, LINK_RANGES)
    for end, zone in (("a", link.a), ("b", link.b)):
        if zone not in known:
            location.key(end).add(f"the zone {zone!r} is not among the site's zones")
    if link.a == link.b:
        location.add("a link must join two different zones")


def _zone_pair(a: ZoneId, b: ZoneId) -> tuple[ZoneId, ZoneId]:
    return (a, b) if a < b else (b, a)


def _check_kinds(location: Location, kinds: list[AcceleratorKind]) -> None:
    for index, kind in enumerate(kinds):
        check_name(location.item(index).key("name"), kind.name)
        check_ranges(location.item(index), kind, ACCELERATOR_RANGES)
        _check_power(location.item(index).key("power"), kind)
    check_unique(((location.item(i).key("name"), k.name) for i, k in enumerate(kinds)), "kind")


def _check_power(location: Location, kind: AcceleratorKind) -> None:
    if not kind.power:
        location.add("at least one power level is needed")
    for index, level in enumerate(kind.power):
        check_ranges(location.item(index), level, {"watts": (1, MAX_VALUE), "speed": (0.001, 1)})
    for index, (lower, higher) in enumerate(pairwise(kind.power), start=1):
        if higher.watts <= lower.watts or higher.speed <= lower.speed:
            location.item(index).add("power levels must rise in both watts and speed")


def _check_accounts(location: Location, accounts: list[Account]) -> None:
    for index, account in enumerate(accounts):
        item = location.item(index)
        check_name(item.key("name"), account.name)
        check_ranges(item, account, ACCOUNT_RANGES)
        if not SHA256_PATTERN.fullmatch(account.token_sha256):
            item.key("token_sha256").add("must be the 64 hex digits of the token's SHA-256")
    names = ((location.item(i).key("name"), a.name) for i, a in enumerate(accounts))
    check_unique(names, "account")
    digests = (
        (location.item(i).key("token_sha256"), a.token_sha256) for i, a in enumerate(accounts)
    )
    check_unique(digests, "token digest")
