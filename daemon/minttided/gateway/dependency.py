"""Tells once when something that this host depends on is lost, and once when it is back."""

import logging

from minttide.routing.sources import SourceError
from minttided.gateway.state import now_s

log = logging.getLogger(__name__)


class Dependency:
    """One part of the platform, as this host reaches it."""

    def __init__(self, name: str):
        self._name = name
        self._lost_s: float | None = None

    @property
    def out_s(self) -> float:
        """Return for how long calls have failed, 0 while they succeed."""
        return now_s() - self._lost_s if self._lost_s is not None else 0.0

    def failed(self, exc: SourceError) -> None:
        """Note a failed call."""
        if self._lost_s is None:
            self._lost_s = now_s()
            log.warning(
                "dependency unavailable", extra={"dependency": self._name, "reason": str(exc)}
            )

    def answered(self) -> None:
        """Note a call that succeeded."""
        if self._lost_s is not None:
            out_s = now_s() - self._lost_s
            log.info("dependency recovered", extra={"dependency": self._name, "out_s": out_s})
            self._lost_s = None
