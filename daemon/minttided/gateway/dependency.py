"""Logs once when a service that this host depends on becomes unavailable, and once on recovery."""

import logging

from minttide.routing.sources import SourceError
from minttided.gateway.state import now_s

log = logging.getLogger(__name__)


class Dependency:
    """Tracks the availability of one platform service as seen from this host."""

    def __init__(self, name: str):
        self._name = name
        self._failed_since_s: float | None = None

    @property
    def outage_s(self) -> float:
        """Return the time in seconds since the first failed call, 0 while calls succeed."""
        return now_s() - self._failed_since_s if self._failed_since_s is not None else 0.0

    def record_failure(self, exc: SourceError) -> None:
        """Record a failed call."""
        if self._failed_since_s is None:
            self._failed_since_s = now_s()
            log.warning(
                "dependency unavailable", extra={"dependency": self._name, "reason": str(exc)}
            )

    def record_success(self) -> None:
        """Record a successful call."""
        if self._failed_since_s is not None:
            out_s = now_s() - self._failed_since_s
            log.info("dependency recovered", extra={"dependency": self._name, "out_s": out_s})
            self._failed_since_s = None
