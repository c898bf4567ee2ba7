"""The order in which entry hosts probe each other: one probe of each host per period.

Hosts that choose whom to probe by themselves, even each once per round, leave a host out by chance:
in a site of six, one in a hundred is probed by nobody for three seconds.
"""

import random
from collections.abc import Sequence

from minttide.ids import HostId


class ProbeSchedule:
    """A schedule that all hosts follow without exchanging anything.

    Periods are numbered by the wall clock. In a period, each host probes the one that follows it at
    a distance, in the order of ids, that is the same for all. A round has each distance once, in an
    order drawn from its number. While clocks or lists of hosts differ, two hosts may probe the same
    one, as they would with orders of their own.
    """

    def __init__(self) -> None:
        self._round = (-1, 0)  # the number of the round and of the other hosts
        self._distances: list[int] = []

    def target(self, local: HostId, hosts: Sequence[HostId], period: int) -> HostId | None:
        """Return the host that `local` probes in a period, or None without any other.

        `hosts` are the ids of all hosts, `local` among them, in ascending order.
        """
        others = len(hosts) - 1
        if others < 1:
            return None
        number, place = divmod(period, others)
        if self._round != (number, others):
            self._round = (number, others)
            self._distances = list(range(1, others + 1))
            random.Random(number).shuffle(self._distances)
        return hosts[(hosts.index(local) + self._distances[place]) % len(hosts)]
