"""Bytes and processor time of a changed route between a reader and one host of its zone."""

import random
import time
from collections.abc import Callable
from statistics import median

import msgspec

from measure.table import Table
from minttide.ids import AccountId, ServiceName
from minttide.routing.config_changes import apply_changes, share_unchanged
from minttide.routing.routes import AccountKeys, Route, RouteKind, RoutingConfig, ServiceShare
from minttide.routing.table import RouteTable
from minttided.gateway.sync.config_versions import ConfigVersions
from minttided.gateway.sync.messages import (
    encode,
    pack,
    unpack_config,
    unpack_config_changes,
)

ROUTES = (250, 2_250, 5_250, 20_000)
ROUNDS = 15
HOSTS = 23
"""Hosts that a reader answers on each change."""

LINK_BYTES_PER_MS = 10e6 / 8 / 1_000


def run(seed: int) -> Table:
    """Measure one changed route: the whole configuration against the changes."""
    table = Table(
        "config_cost",
        "One changed route, sent whole and as changes",
        "python -m measure config_cost",
        seed,
        [
            "routes",
            "whole, bytes",
            "changes, bytes",
            "whole: reader ms",
            "changes: reader ms",
            "whole: host ms",
            "changes: host ms",
            f"whole: reader's link for {HOSTS} hosts, ms",
            f"changes: reader's link for {HOSTS} hosts, ms",
        ],
    )
    for routes in ROUTES:
        table.add(routes, *_measure(_config(random.Random(seed), routes)))
    table.note(f"median of {ROUNDS} rounds; the link has 10 Mbit/s; bytes without framing")
    table.note("reader: from the decoded configuration to the packed bytes, once for all hosts")
    table.note("host: from the packed bytes to the route table, with the record of changes")
    table.note("whole is what releases before the changes do; links take the bytes of all hosts")
    return table


def _measure(old: RoutingConfig) -> tuple[int | float, ...]:
    changed = [*old.routes]
    changed[len(changed) // 2] = msgspec.structs.replace(changed[len(changed) // 2], timeout_s=9.0)
    text = encode(msgspec.structs.replace(old, version=old.version + 1, routes=tuple(changed)))
    read = msgspec.msgpack.Decoder(RoutingConfig).decode  # new objects, as from the store
    whole, changes = pack(read(text)), _pack_changes(_recorded(old), old, read(text))
    sizes = len(whole), len(changes)
    times = (
        _median_ms(pack, lambda: (read(text),)),
        _median_ms(_pack_changes, lambda: (_recorded(old), old, read(text))),
        _median_ms(lambda: RouteTable(unpack_config(whole)), lambda: ()),
        _median_ms(_apply_changes, lambda: (_recorded(old), old, changes)),
    )
    return *sizes, *times, *(size * HOSTS / LINK_BYTES_PER_MS for size in sizes)


def _recorded(config: RoutingConfig) -> ConfigVersions:
    versions = ConfigVersions()
    versions.record(config)
    return versions


def _pack_changes(versions: ConfigVersions, old: RoutingConfig, new: RoutingConfig) -> bytes:
    versions.record(share_unchanged(old, new))
    packed = versions.pack_changes(old.version)
    if packed is None:
        raise ValueError("one changed route was to be sent as changes")
    return packed


def _apply_changes(versions: ConfigVersions, old: RoutingConfig, packed: bytes) -> RouteTable:
    new = apply_changes(old, unpack_config_changes(packed))
    versions.record(new)
    return RouteTable(new)


def _median_ms(run: Callable[..., object], make_arguments: Callable[[], tuple]) -> float:
    """Return the median processor time of a call in ms, without that of making its arguments."""
    times = []
    for _ in range(ROUNDS):
        arguments = make_arguments()
        started = time.process_time()
        run(*arguments)
        times.append((time.process_time() - started) * 1_000.0)
    return median(times)


def _config(rng: random.Random, routes: int) -> RoutingConfig:
    """Return a configuration whose names are as hard to compress as those of a site."""
    return RoutingConfig(
        1,
        tuple(_route(rng, n) for n in range(routes)),
        (),
        tuple(AccountKeys(AccountId(f"a-{n}"), (f"{rng.getrandbits(96):x}",)) for n in range(320)),
    )


def _route(rng: random.Random, number: int) -> Route:
    share = ServiceShare(ServiceName(f"s-{rng.randrange(250)}"), 1.0)
    host, prefix = f"h{rng.randrange(100)}.example", f"/{rng.getrandbits(40):x}/"
    timeout_s = rng.choice((0.5, 1.0, 2.0, 5.0))
    return Route(
        f"r-{number}", host, prefix, RouteKind.IDEMPOTENT, (share,), timeout_s, timeout_s / 4
    )
