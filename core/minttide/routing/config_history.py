"""The last few versions of the routing configuration, to tell what changed since one of them."""

import msgspec

from minttide.routing.config_changes import (
    ConfigChanges,
    ConfigDigest,
    config_digest,
    diff_configs,
)
from minttide.routing.routes import RoutingConfig

MAX_VERSIONS = 8
"""Versions that are kept, with the newest."""

MAX_REPLACED_FRACTION = 0.5
"""Bound on the items that only older versions hold, as a fraction of those of the newest."""

MAX_CHANGES_FRACTION = 0.5
"""Largest size of changes that are worth sending, as a fraction of the whole configuration's."""


class ConfigHistory:
    """The newest configuration of one host and some earlier ones, which share unchanged items."""

    def __init__(self) -> None:
        self._versions: dict[int, RoutingConfig] = {}  # the newest last
        self._replaced: dict[int, int] = {}  # items replaced or removed after a version
        self._newest: RoutingConfig | None = None
        self._digest: ConfigDigest | None = None  # of the newest; made when it is asked for
        self._last_changes: ConfigChanges | None = None  # to the newest, without its digest

    def record(self, config: RoutingConfig) -> bool:
        """Record a configuration and return True, unless it is no newer than the newest one."""
        newest, changes = self._newest, None
        if newest is not None:
            if config.version <= newest.version:
                return False
            changes = diff_configs(newest, config, 0)
            if changes is None:
                self._versions.clear()
                self._replaced.clear()
            else:
                self._replaced[newest.version] = changes.count
        self._newest, self._digest, self._last_changes = config, None, changes
        self._versions[config.version] = config
        self._forget_oldest(config)
        return True

    def _forget_oldest(self, newest: RoutingConfig) -> None:
        items = len(newest.routes) + len(newest.services) + len(newest.accounts)
        max_replaced = max(1.0, MAX_REPLACED_FRACTION * items)
        while len(self._versions) > MAX_VERSIONS or sum(self._replaced.values()) > max_replaced:
            oldest = next(iter(self._versions))
            del self._versions[oldest]
            self._replaced.pop(oldest, None)

    def since(self, version: int) -> ConfigChanges | None:
        """Return the changes from a version to the newest.

        Returns None if the whole configuration should be sent: the version isn't kept, or the
        changes are too large or can't be expressed.
        """
        old, newest = self._versions.get(version), self._newest
        if old is None or newest is None:
            return None
        digest = self._digest = self._digest or config_digest(newest)
        changes = self._diff(old, newest, digest.crc)
        if changes is None or changes.encoded_bytes > MAX_CHANGES_FRACTION * digest.encoded_bytes:
            return None
        return changes

    def _diff(self, old: RoutingConfig, newest: RoutingConfig, digest: int) -> ConfigChanges | None:
        last = self._last_changes
        if last is not None and last.base == old.version:
            return msgspec.structs.replace(last, digest=digest)
        return diff_configs(old, newest, digest)
