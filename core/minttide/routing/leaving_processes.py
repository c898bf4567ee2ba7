"""Processes of upstreams that have said in their answers that they leave.

The platform's list may not say so yet, may be out of reach, or may be an older copy. A process that
leaves doesn't change its mind, so it counts as leaving whatever the list says.
"""

import msgspec

from minttide.ids import UpstreamId
from minttide.routing.routes import ProcessKey, UpstreamEntry

KEEP_S = 600.0
"""How long a process counts as leaving; by then it has ended."""

HINT_S = 15.0
"""How long other hosts are told; readers of all zones have met in this time."""

MAX_TOLD = 64
"""Processes that other hosts are told of at once."""

MAX_PROCESSES = 4096


class LeavingProcesses:
    """The processes that leave, with the time at which this host learned it, in seconds."""

    def __init__(self) -> None:
        self._since_s: dict[ProcessKey, float] = {}  # oldest first

    def add(self, process: ProcessKey, now_s: float) -> bool:
        """Add a process; return whether it wasn't known to leave."""
        self._drop_old(now_s)
        if process in self._since_s or len(self._since_s) >= MAX_PROCESSES:
            return False
        self._since_s[process] = now_s
        return True

    def recent(self, now_s: float) -> list[ProcessKey]:
        """Return the processes that other hosts are told of, the newest first."""
        newest = reversed(self._since_s.items())
        return [p for p, since_s in newest if now_s <= since_s + HINT_S][:MAX_TOLD]

    def mark(
        self, entries: dict[UpstreamId, UpstreamEntry], now_s: float
    ) -> dict[UpstreamId, UpstreamEntry]:
        """Return the entries of a list, with those of leaving processes marked as such."""
        self._drop_old(now_s)
        marked = {}
        for process in self._since_s:
            entry = entries.get(process[0])
            if entry is not None and entry.process == process and not entry.leaving:
                marked[entry.id] = msgspec.structs.replace(entry, leaving=True)
        return {**entries, **marked} if marked else entries

    def _drop_old(self, now_s: float) -> None:
        while self._since_s:
            process, since_s = next(iter(self._since_s.items()))
            if now_s <= since_s + KEEP_S:
                return
            del self._since_s[process]
