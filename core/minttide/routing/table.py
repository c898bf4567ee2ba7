"""Looks up the route and the client account of a request."""

from collections import defaultdict
from collections.abc import Mapping

from minttide.ids import ServiceName
from minttide.routing.routes import AccountKeys, Route, RoutingConfig, ServiceSpec


class RouteTable:
    """One version of the routing configuration, indexed for request lookups."""

    def __init__(self, config: RoutingConfig):
        self.config = config
        self.services: Mapping[ServiceName, ServiceSpec] = {s.name: s for s in config.services}
        self._routes: dict[str, list[Route]] = defaultdict(list)
        for route in config.routes:
            self._routes[route.host.lower()].append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda r: len(r.prefix), reverse=True)
        self._accounts = {k: a for a in config.accounts for k in a.keys}

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.config.version

    @property
    def needs_key(self) -> bool:
        """Return whether requests on routes that aren't public need a key."""
        return bool(self.config.accounts)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        routes = self._routes.get(strip_port(host).lower(), ())
        return next((r for r in routes if path.startswith(r.prefix)), None)

    def account(self, key: str) -> AccountKeys | None:
        """Return the client account that owns a key, or None."""
        return self._accounts.get(key)


def strip_port(host: str) -> str:
    """Return the host name of a Host header without its port."""
    name, _, port = host.rpartition(":")
    return name if name and port.isdigit() else host
