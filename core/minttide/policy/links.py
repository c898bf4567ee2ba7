"""Latency and bandwidth of the links between availability zones, as the site file gives them."""

from collections.abc import Mapping

import msgspec

from minttide.config.service import Site
from minttide.ids import ZoneId

LOCAL_ONE_WAY_US = 100.0
"""One-way latency within an availability zone, in microseconds."""

LOCAL_MBIT_PER_S = 25_000.0
UNKNOWN_ONE_WAY_US = 50_000.0
UNKNOWN_MBIT_PER_S = 100.0
BITS_PER_KB = 8192


class LinkRate(msgspec.Struct, frozen=True):
    """Latency and bandwidth of one direction of a link. `one_way_us` is in microseconds."""

    one_way_us: float
    mbit_per_s: float

    def transfer_us(self, kilobytes: float) -> float:
        """Return the time until all of `kilobytes` has arrived, in microseconds."""
        return self.one_way_us + kilobytes * BITS_PER_KB / self.mbit_per_s


LOCAL_LINK = LinkRate(LOCAL_ONE_WAY_US, LOCAL_MBIT_PER_S)
UNKNOWN_LINK = LinkRate(UNKNOWN_ONE_WAY_US, UNKNOWN_MBIT_PER_S)


class Links:
    """The links of a site. `slowdown` multiplies the transfer times of degraded links."""

    def __init__(self, site: Site, slowdown: Mapping[tuple[ZoneId, ZoneId], float] | None = None):
        self._rates: dict[tuple[ZoneId, ZoneId], LinkRate] = {}
        for link in site.links:
            rate = LinkRate(link.one_way_ms * 1000.0, link.mbit_per_s)
            self._rates[link.a, link.b] = self._rates[link.b, link.a] = rate
        for (a, b), factor in (slowdown or {}).items():
            self.degrade(a, b, factor)

    def degrade(self, a: ZoneId, b: ZoneId, factor: float) -> None:
        """Multiply the transfer times of the link between `a` and `b` by `factor`."""
        rate = self.between(a, b)
        slower = LinkRate(rate.one_way_us * factor, rate.mbit_per_s / factor)
        self._rates[a, b] = self._rates[b, a] = slower

    def between(self, a: ZoneId, b: ZoneId) -> LinkRate:
        """Return the rate of a link; a link that the site file doesn't list counts as very slow."""
        known_rate = self._rates.get((a, b))
        if known_rate is not None:
            return known_rate
        return LOCAL_LINK if a == b else UNKNOWN_LINK
