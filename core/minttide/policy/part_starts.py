"""When requests with each part last began to answer, for the latest parts. Times in seconds."""

from minttide.policy.crash_reports import PartKey
from minttide.policy.request_fingerprint import is_request_part

MAX_STARTS = 4096
"""Parts of prompts whose last start is kept, and as many whole requests."""

NEVER_S = float("-inf")


class PartStarts:
    """The last start of each part.

    Parts of prompts and whole requests are kept apart, since whole requests are many more.
    """

    def __init__(self) -> None:
        self._prompt_parts: dict[PartKey, float] = {}
        self._requests: dict[PartKey, float] = {}

    def last_s(self, key: PartKey) -> float:
        """Return when a request with a part last began to answer, `NEVER_S` if unknown."""
        return self._select(key).get(key, NEVER_S)

    def record(self, key: PartKey, started_s: float) -> float:
        """Record a start; return what `last_s` was before."""
        starts = self._select(key)
        before_s = starts.pop(key, NEVER_S)
        starts[key] = max(before_s, started_s)
        if len(starts) > MAX_STARTS:
            del starts[next(iter(starts))]
        return before_s

    def _select(self, key: PartKey) -> dict[PartKey, float]:
        return self._requests if is_request_part(key[1]) else self._prompt_parts
