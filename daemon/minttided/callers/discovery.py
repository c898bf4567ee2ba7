"""Upstreams of plain services: those of the service files and those of the platform's list."""

from minttide.config.service import PlainService, Upstream
from minttide.ids import UpstreamId
from minttided.node import Node


class UpstreamDiscovery:
    """Finds the upstreams of a service; the platform's list lags, and its last answer stands."""

    def __init__(self, node: Node):
        self._node = node

    def upstreams(self, file: PlainService) -> list[Upstream]:
        """Return the upstreams of a service, without those listed as leaving."""
        if file.discover is None:
            return file.upstreams
        group = [h for h in self._node.host_list_cache.hosts if h.group == file.discover]
        leaving = {h.id for h in group if h.leaving}
        named = {u.id: u for u in file.upstreams if u.id not in leaving}
        for host in group:
            if not host.leaving:
                upstream = Upstream(UpstreamId(host.id), host.address, host.zone)
                named.setdefault(upstream.id, upstream)
        return list(named.values())
