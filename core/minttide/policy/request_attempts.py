"""Records the attempts of one request, and tells the fault of a request from that of an engine."""

from minttide.ids import ServiceName
from minttide.policy.path_evidence import FailedPath
from minttide.policy.path_faults import PathFaults


class RequestAttempts:
    """The attempts of one request. Times are in loop seconds.

    A request that fails on two paths without a common engine rather explains both failures by
    itself, so that they count against no engine.
    """

    def __init__(self, faults: PathFaults, service: ServiceName):
        self._faults = faults
        self._service = service
        self._failed: list[FailedPath] = []

    def record_answered(self, causes: tuple[str, ...], now_s: float) -> None:
        """Record an attempt that was answered; `causes` is that of `path_causes`."""
        self._faults.record_answered(self._service, causes, now_s)

    def record_failed(self, causes: tuple[str, ...], engines: int, now_s: float) -> None:
        """Record an attempt that failed, of whose causes the first `engines` are engines."""
        failed = self._faults.record_failed(self._service, causes, now_s)
        path = set(causes[:engines])
        elsewhere = [f for f in self._failed if path.isdisjoint(f.causes)]
        for other in [*elsewhere, failed] if elsewhere else []:
            self._faults.withdraw(other)
        self._failed.append(failed)
