"""Upstreams of plain services, from the service files and the platform's host list."""

from minttide.config.service import PlainService, Upstream
from minttide.ids import UpstreamId
from minttided.node import Node


class UpstreamDiscovery:
    """Finds the upstreams of a service.

    The host list may be stale: while it can't be read, the last one is used.
    """

    def __init__(self, node: Node):
        self._node = node

    def upstreams(self, file: PlainService) -> list[Upstream]:
        """Return the upstreams of a service.

        If the service uses the host list, those that the list marks as leaving are left out.
        """
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
