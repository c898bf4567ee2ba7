"""Changes between two versions of the routing configuration, so that a peer is sent only these.

Order is kept exactly: of two routes with the same host and prefix the first one matches, and a key
that two accounts hold belongs to the last one.
"""

import zlib
from collections.abc import Callable, Sequence
from operator import attrgetter
from typing import Any, Generic, TypeVar

import msgspec

from minttide.routing.routes import AccountKeys, ClientLimits, Route, RoutingConfig, ServiceSpec

Item = TypeVar("Item", Route, ServiceSpec, AccountKeys)

_item_name: Callable[[Any], str] = attrgetter("name")
_account_name: Callable[[Any], str] = attrgetter("account")

_encode = msgspec.msgpack.Encoder().encode


class WrongBaseError(Exception):
    """The changes don't lead from this configuration to the one that they were made for."""


class PartChanges(msgspec.Struct, Generic[Item], frozen=True, omit_defaults=True):
    """Changes of a sequence of named items.

    `changed` items replace those of the same name, `added` are new ones with their index in the
    new sequence, in ascending order, and `gone` are names of removed ones.
    """

    changed: tuple[Item, ...] = ()
    added: tuple[tuple[int, Item], ...] = ()
    gone: tuple[str, ...] = ()

    @property
    def count(self) -> int:
        """Return the number of items that are changed, added or gone."""
        return len(self.changed) + len(self.added) + len(self.gone)


class ConfigChanges(msgspec.Struct, frozen=True, omit_defaults=True):
    """The changes from version `base` of a configuration to `version`.

    `digest` is the `config_digest` of the result. `limits` is None if the limits are the same.
    """

    base: int
    version: int
    digest: int
    routes: PartChanges[Route] = PartChanges()
    services: PartChanges[ServiceSpec] = PartChanges()
    accounts: PartChanges[AccountKeys] = PartChanges()
    limits: ClientLimits | None = None

    @property
    def count(self) -> int:
        """Return the number of items that are changed, added or gone, without the limits."""
        return self.routes.count + self.services.count + self.accounts.count

    @property
    def encoded_bytes(self) -> int:
        """Return the size in bytes before compression."""
        return len(_encode(self))


class ConfigDigest(msgspec.Struct, frozen=True):
    """The CRC-32 of a whole encoded configuration, and the size of the encoding in bytes."""

    crc: int
    encoded_bytes: int


def config_digest(config: RoutingConfig) -> ConfigDigest:
    """Return the digest of a configuration: its version, its whole content and its order."""
    encoded = _encode(config)
    return ConfigDigest(zlib.crc32(encoded), len(encoded))


def diff_configs(old: RoutingConfig, new: RoutingConfig, digest: int) -> ConfigChanges | None:
    """Return the changes from `old` to `new`, whose digest is given.

    Returns None if names aren't unique or items that both have stand in another order.
    """
    routes = _diff_part(old.routes, new.routes, _item_name)
    services = _diff_part(old.services, new.services, _item_name)
    accounts = _diff_part(old.accounts, new.accounts, _account_name)
    if routes is None or services is None or accounts is None:
        return None
    limits = new.limits if new.limits != old.limits else None
    return ConfigChanges(old.version, new.version, digest, routes, services, accounts, limits)


def apply_changes(old: RoutingConfig, changes: ConfigChanges) -> RoutingConfig:
    """Return the configuration that `changes` lead to; unchanged items are those of `old`.

    Raises `WrongBaseError` if `old` isn't what the changes were made from, or if the result's
    digest is another.
    """
    if old.version != changes.base:
        raise WrongBaseError(f"version {old.version} instead of {changes.base}")
    new = _merge(old, changes)
    if config_digest(new).crc != changes.digest:
        raise WrongBaseError(f"version {changes.version} has another digest")
    return new


def share_unchanged(old: RoutingConfig, new: RoutingConfig) -> RoutingConfig:
    """Return `new` with the items of `old` where these are equal, to save their memory."""
    changes = diff_configs(old, new, 0)
    return new if changes is None else _merge(old, changes)


def _merge(old: RoutingConfig, changes: ConfigChanges) -> RoutingConfig:
    return RoutingConfig(
        changes.version,
        _merge_part(old.routes, changes.routes, _item_name),
        _merge_part(old.services, changes.services, _item_name),
        _merge_part(old.accounts, changes.accounts, _account_name),
        old.limits if changes.limits is None else changes.limits,
    )


def _diff_part(
    old: Sequence[Item], new: Sequence[Item], name: Callable[[Item], str]
) -> PartChanges[Item] | None:
    if old == new:
        return PartChanges()
    old_names, new_names = list(map(name, old)), list(map(name, new))
    before, after = dict(zip(old_names, old, strict=True)), dict(zip(new_names, new, strict=True))
    if len(before) < len(old) or len(after) < len(new):
        return None
    if old_names == new_names:
        pairs = zip(old, new, strict=True)
        return PartChanges(tuple(b for a, b in pairs if a is not b and a != b))
    if [n for n in before if n in after] != [n for n in after if n in before]:
        return None
    return PartChanges(
        tuple(i for n, i in after.items() if n in before and before[n] != i),
        tuple((k, i) for k, (n, i) in enumerate(after.items()) if n not in before),
        tuple(n for n in before if n not in after),
    )


def _merge_part(
    old: tuple[Item, ...], changes: PartChanges[Item], name: Callable[[Item], str]
) -> tuple[Item, ...]:
    """Return the new sequence. Raises `WrongBaseError` for an index beyond its end."""
    if changes.count == 0:
        return old
    changed, gone = {name(i): i for i in changes.changed}, frozenset(changes.gone)
    kept = [changed.get(name(i), i) for i in old if name(i) not in gone]
    merged: list[Item] = []
    taken = 0
    for index, item in changes.added:
        until = taken + index - len(merged)
        if not taken <= until <= len(kept):
            raise WrongBaseError(f"no index {index} in the new configuration")
        merged.extend(kept[taken:until])
        merged.append(item)
        taken = until
    merged.extend(kept[taken:])
    return tuple(merged)
