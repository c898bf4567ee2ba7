"""Rules on the site file."""

from itertools import combinations, pairwise

from minttide.config.rules import (
    SHA256,
    Place,
    Range,
    check_address,
    check_name,
    check_ranges,
    check_unique,
)
from minttide.config.service import SITE_NAME, AcceleratorKind, Account, Link, Site, ZoneId

MANY = 1e9

SITE_RANGES: dict[str, Range] = {
    "power_cap_watts": (1, MANY),
    "key_shards": (1, 1024),
    "key_memory_s": (600, 30 * 24 * 3600),
    "answer_keep_s": (0.1, 300),
}
LINK_RANGES: dict[str, Range] = {"one_way_ms": (0, 1000), "mbit_per_s": (0.001, MANY)}
KIND_RANGES: dict[str, Range] = {
    "memory_mb": (1, MANY),
    "decode_us": (0.001, MANY),
    "decode_stream_us": (0, MANY),
    "prefill_us": (0.001, MANY),
}
ACCOUNT_RANGES: dict[str, Range] = {
    "weight": (0.001, 1e6),
    "max_streams": (1, 1e6),
    "requests_per_s": (0.001, 1e6),
    "priority": (-100, 100),
}


def check_site(place: Place, site: Site) -> None:
    """Check all that can be said of a site file by itself."""
    if site.service != SITE_NAME:
        place.key("service").add(f"the site file's service must be {SITE_NAME!r}")
    check_ranges(place, site, SITE_RANGES)
    _check_zones(place, site)
    _check_links(place.key("links"), site)
    _check_kinds(place.key("accelerators"), site.accelerators)
    _check_accounts(place.key("accounts"), site.accounts)
    if site.weight_store is not None:
        check_address(place.key("weight_store").key("address"), site.weight_store.address)
        check_ranges(place.key("weight_store"), site.weight_store, {"mb_per_s": (0.001, MANY)})


def _check_zones(place: Place, site: Site) -> None:
    zones = place.key("zones")
    if not site.zones:
        zones.add("at least one availability zone is needed")
    names = [(zones.item(i).key("name"), zone.name) for i, zone in enumerate(site.zones)]
    for at, name in names:
        check_name(at, name)
    check_unique(names, "zone")


def _check_links(place: Place, site: Site) -> None:
    known = {zone.name for zone in site.zones}
    for index, link in enumerate(site.links):
        _check_link(place.item(index), link, known)
    check_unique(
        ((place.item(i), _ends(link.a, link.b)) for i, link in enumerate(site.links)), "link"
    )
    linked = {_ends(link.a, link.b) for link in site.links}
    for a, b in combinations(sorted(known), 2):
        if _ends(a, b) not in linked:
            place.add(f"the link between {a!r} and {b!r} is missing")


def _check_link(place: Place, link: Link, known: set[ZoneId]) -> None:
    check_ranges(place, link, LINK_RANGES)
    for end, zone in (("a", link.a), ("b", link.b)):
        if zone not in known:
            place.key(end).add(f"the zone {zone!r} is not among the site's zones")
    if link.a == link.b:
        place.add("a link joins two different zones")


def _ends(a: ZoneId, b: ZoneId) -> tuple[ZoneId, ZoneId]:
    return (a, b) if a < b else (b, a)


def _check_kinds(place: Place, kinds: list[AcceleratorKind]) -> None:
    for index, kind in enumerate(kinds):
        check_name(place.item(index).key("name"), kind.name)
        check_ranges(place.item(index), kind, KIND_RANGES)
        _check_power(place.item(index).key("power"), kind)
    check_unique(((place.item(i).key("name"), k.name) for i, k in enumerate(kinds)), "kind")


def _check_power(place: Place, kind: AcceleratorKind) -> None:
    if not kind.power:
        place.add("at least one power level is needed")
    for index, level in enumerate(kind.power):
        check_ranges(place.item(index), level, {"watts": (1, MANY), "speed": (0.001, 1)})
    for index, (lower, higher) in enumerate(pairwise(kind.power), start=1):
        if higher.watts <= lower.watts or higher.speed <= lower.speed:
            place.item(index).add("power levels must rise in both watts and speed")


def _check_accounts(place: Place, accounts: list[Account]) -> None:
    for index, account in enumerate(accounts):
        at = place.item(index)
        check_name(at.key("name"), account.name)
        check_ranges(at, account, ACCOUNT_RANGES)
        if not SHA256.fullmatch(account.token_sha256):
            at.key("token_sha256").add("must be the 64 hex digits of the token's SHA-256")
    names = ((place.item(i).key("name"), a.name) for i, a in enumerate(accounts))
    check_unique(names, "account")
    digests = ((place.item(i).key("token_sha256"), a.token_sha256) for i, a in enumerate(accounts))
    check_unique(digests, "token digest")
