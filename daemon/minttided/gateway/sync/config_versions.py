"""The last configurations of one host, and the packed changes from each of them to the newest."""

from minttide.routing.config_history import ConfigHistory
from minttide.routing.routes import RoutingConfig
from minttided.gateway.sync.messages import pack


class ConfigVersions:
    """Packs the changes since a version once for all hosts that have this version."""

    def __init__(self) -> None:
        self._history = ConfigHistory()
        self._packed: dict[int, bytes | None] = {}  # by the version that a host has

    def record(self, config: RoutingConfig) -> None:
        """Record the configuration that is in force."""
        if self._history.record(config):
            self._packed.clear()

    def pack_changes(self, version: int) -> bytes | None:
        """Return the packed changes from a version to the newest, None to send the whole."""
        if version not in self._packed:
            changes = self._history.since(version)
            self._packed[version] = pack(changes) if changes is not None else None
        return self._packed[version]
