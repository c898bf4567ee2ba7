"""Remembers when refused callers may return, so that those who wait as told go first.

It addresses bursts in which callers retry at once: their requests would count as new demand, and
take the places of callers that wait. Each host remembers what it has refused itself. Callers that
return to another host count as new there, since a list of all hosts' refusals would cost messages
for each request.
"""

from collections import OrderedDict

from minttide.ids import PromptPart

MAX_REMEMBERED = 4096
"""Refused requests that one host remembers; the oldest is dropped first. About 0.5 MB."""

TOLERANCE_S = 0.02
"""How much before its time a caller may return, for rounding of Retry-After to hundredths."""

KEPT_S = 10.0
"""How long a request is remembered after the time at which it may return."""


class ReturnOrder:
    """The requests to one service that this host has refused, by fingerprint. Times in seconds."""

    def __init__(self) -> None:
        self._due_s: OrderedDict[PromptPart, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._due_s)

    def record_refusal(self, part: PromptPart, due_s: float) -> None:
        """Remember that a refused request may return at `due_s`."""
        self._due_s[part] = due_s
        self._due_s.move_to_end(part)
        if len(self._due_s) > MAX_REMEMBERED:
            self._due_s.popitem(last=False)

    def early_s(self, part: PromptPart, now_s: float) -> float:
        """Return how much too early a request returns, 0 if it isn't early or wasn't refused."""
        left_s = self._due_s.get(part, now_s) - now_s
        return left_s if left_s > TOLERANCE_S else 0.0

    def take_returned(self, part: PromptPart, now_s: float) -> bool:
        """Forget a request that has arrived; return whether its caller has waited as told."""
        due_s = self._due_s.pop(part, None)
        return due_s is not None and due_s - TOLERANCE_S <= now_s <= due_s + KEPT_S
