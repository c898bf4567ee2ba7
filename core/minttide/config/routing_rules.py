"""Consistency rules of a routing configuration, for the check before it is sent and for hosts.

They find what can never match and limits that contradict each other. None of these keeps a host
from serving: a request takes the first route that matches, as `RouteTable` has it.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import msgspec

from minttide.findings import Findings
from minttide.ids import ServiceName
from minttide.routing.config_changes import PartChanges, diff_configs
from minttide.routing.routes import (
    AccountKeys,
    ClientLimits,
    Route,
    RouteKind,
    RoutingConfig,
    ServiceSpec,
)
from minttide.routing.table import strip_port

MAX_SHARE_SUM = 1.0 + 1e-6
"""Largest sum of the traffic weights of a route that are fractions, with room for rounding."""


class Entry:
    """An entry of a configuration, as the place of findings: its list, index and name."""

    def __init__(self, findings: Findings, file: str, part: str, index: int, name: str):
        self._findings = findings
        self._file = file
        self._place = f"{part}[{index}] {name!r}"

    def add(self, message: str) -> None:
        """Add a finding at this entry."""
        self._findings.add(self._file, self._place, message)


def check_routing(
    config: RoutingConfig, file: str, upstreams: Mapping[ServiceName, int] | None = None
) -> Findings:
    """Return the findings of a configuration that can be decoded.

    `upstreams` is how many upstreams services have, as far as known; without it the rule on
    attempts is left out. No finding contains a key.
    """
    findings = Findings()

    def place(part: str, names: Iterable[str]) -> list[Entry]:
        return [Entry(findings, file, part, index, name) for index, name in enumerate(names)]

    routes = place("routes", (route.name for route in config.routes))
    services = place("services", (service.name for service in config.services))
    accounts = place("accounts", (account.account for account in config.accounts))
    _check_names(routes, [r.name for r in config.routes])
    _check_names(services, [s.name for s in config.services])
    _check_names(accounts, [a.account for a in config.accounts])
    known = {s.name: s for s in config.services}
    for entry, route in zip(routes, config.routes, strict=True):
        _check_shares(entry, route, known)
        _check_limits(entry, route, upstreams or {})
    _check_shadowed(routes, config.routes)
    named = {share.service for route in config.routes for share in route.shares}
    for entry, service in zip(services, config.services, strict=True):
        _check_service(entry, service, named)
    _check_keys(accounts, config.accounts)
    for name in ClientLimits.__struct_fields__:
        if getattr(config.limits, name) <= 0:
            findings.add(file, f"limits.{name}", "must be above 0: no request could be read")
    return findings


def _check_names(entries: Iterable[Entry], names: Iterable[str]) -> None:
    seen: set[str] = set()
    for entry, name in zip(entries, names, strict=True):
        if name in seen:
            entry.add("the name is used more than once")
        seen.add(name)


def _check_shares(entry: Entry, route: Route, known: Mapping[ServiceName, ServiceSpec]) -> None:
    """Check the services of a route and how its traffic is divided among them."""
    for share in route.shares:
        if share.service not in known:
            entry.add(f"no service {share.service!r}")
        if share.weight < 0.0:
            entry.add(f"the weight of {share.service!r} is below 0")
    services = {share.service for share in route.shares}
    if len(services) < len(route.shares):
        entry.add("a service has more than one share")
    weights = [share.weight for share in route.shares]
    total = sum(weights)
    if total > MAX_SHARE_SUM and _are_fractions(weights):
        entry.add(f"the shares sum to {total:g}, at most 1 is possible")
    if total <= 0.0:
        entry.add("no service has a share above 0")


def _are_fractions(weights: Sequence[float]) -> bool:
    """Return whether weights are meant as parts of one; they are relative, so 90 and 10 are not."""
    return max(weights) <= 1.0 and any(weight % 1.0 for weight in weights)


_LIMIT_RULES: tuple[tuple[Callable[[Route], bool], str], ...] = (
    (lambda r: r.timeout_s <= 0.0, "the timeout must be above 0"),
    (lambda r: r.objective_s > r.timeout_s, "the latency objective is above the timeout"),
    (lambda r: r.gap_s > r.timeout_s, "the longest pause between events is above the timeout"),
    (lambda r: r.max_attempts < 1, "at least one attempt is needed"),
    (
        lambda r: r.resumable and r.kind is not RouteKind.STREAM,
        "only streams can be resumable",
    ),
    (
        lambda r: r.prefix != "" and not r.prefix.startswith("/"),
        "never matches: paths begin with '/', its prefix doesn't",
    ),
    (
        lambda r: strip_port(r.host) != r.host,
        "never matches: hosts are compared without their port",
    ),
    (lambda r: r.priority < 0, "the priority must be 0 or above"),
)


def _check_limits(entry: Entry, route: Route, upstreams: Mapping[ServiceName, int]) -> None:
    for is_broken, message in _LIMIT_RULES:
        if is_broken(route):
            entry.add(message)
    for service in dict.fromkeys(share.service for share in route.shares):
        count = upstreams.get(service)
        if count is not None and route.max_attempts > count:
            entry.add(f"{route.max_attempts} attempts, but {service!r} has {count} upstreams")


def _check_shadowed(entries: Iterable[Entry], routes: Iterable[Route]) -> None:
    """Check that each route can match: of two with the same host and prefix the first one does."""
    first: dict[tuple[str, str], Route] = {}
    for entry, route in zip(entries, routes, strict=True):
        matched = first.setdefault((route.host.lower(), route.prefix), route)
        if matched is not route:
            entry.add(f"never matches: the route {matched.name!r} has the same host and prefix")


def _check_service(entry: Entry, service: ServiceSpec, named: set[ServiceName]) -> None:
    if service.name not in named:
        entry.add("no route names it")
    if service.max_connections < 0:
        entry.add("the number of connections is below 0")


def _check_keys(entries: Iterable[Entry], accounts: Iterable[AccountKeys]) -> None:
    owner: dict[str, str] = {}
    for entry, account in zip(entries, accounts, strict=True):
        if not account.keys:
            entry.add("has no key, so that no request can be accounted to it")
        for other in sorted({owner[k] for k in account.keys if k in owner}):
            entry.add(f"takes a key of the account {other!r}, which loses it")
        owner.update(dict.fromkeys(account.keys, str(account.account)))


class Difference(msgspec.Struct, frozen=True, order=True):
    """One entry that differs from the version in force: its part, name, and what happens to it."""

    part: str
    name: str
    change: str


def find_differences(in_force: RoutingConfig, config: RoutingConfig) -> list[Difference] | None:
    """Return what differs from the version in force, without the order of entries.

    Returns None if names aren't unique, or entries that both have stand in another order.
    """
    changes = diff_configs(in_force, config, 0)
    if changes is None:
        return None
    found = [
        *_describe("routes", changes.routes, lambda r: r.name),
        *_describe("services", changes.services, lambda s: s.name),
        *_describe("accounts", changes.accounts, lambda a: a.account),
    ]
    if changes.limits is not None:
        found.append(Difference("limits", "", "changed"))
    return sorted(found)


def _describe(
    part: str, changes: PartChanges[Any], name: Callable[..., str]
) -> Iterable[Difference]:
    yield from (Difference(part, name(item), "changed") for item in changes.changed)
    yield from (Difference(part, name(item), "added") for _, item in changes.added)
    yield from (Difference(part, gone, "removed") for gone in changes.gone)
