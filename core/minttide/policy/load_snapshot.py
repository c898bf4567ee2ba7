"""The engine load that a host uses to choose a chain, and the streams expected per engine."""

from collections.abc import Mapping

import msgspec

from minttide.ids import UpstreamId
from minttide.steps import LoadReport

MAX_REPORT_AGE_MS = 5_000
"""Maximum age of a load report; older ones are ignored."""


class LoadSnapshot(msgspec.Struct):
    """The engine load that a host uses to choose a chain. Times are in milliseconds.

    `local_streams` and `local_prefill_tokens` (prompt tokens waiting) count the work of this host
    and are exact. `mean_prefill_tokens` is the moving average of the latter, and is assumed for
    each of the other hosts. `reports` are delayed. `cached_tokens` is the number of tokens of the
    prompt's prefix that an engine should have in its cache; an engine with a gap in its cache
    events is absent. `step_time_factors` holds the ratio of measured to rated step times, above 1
    where an engine or its link is slow. `sharing_hosts` is the number of hosts, including this one,
    that use the same chains; all are assumed to have the same load.
    """

    now_ms: float
    local_streams: Mapping[UpstreamId, int] = {}
    local_prefill_tokens: Mapping[UpstreamId, float] = {}
    mean_prefill_tokens: Mapping[UpstreamId, float] = {}
    reports: Mapping[UpstreamId, LoadReport] = {}
    cached_tokens: Mapping[UpstreamId, int] = {}
    step_time_factors: Mapping[UpstreamId, float] = {}
    sharing_hosts: float = 1.0


def estimate_streams(engine: UpstreamId, load: LoadSnapshot) -> float:
    """Return the streams expected on an engine.

    Without a recent load report, each host that shares the engine is assumed to run as many streams
    on it as this one.
    """
    local = load.local_streams.get(engine, 0)
    report = load.reports.get(engine)
    if report is None or load.now_ms - report.at_ms > MAX_REPORT_AGE_MS:
        return local * load.sharing_hosts
    return float(max(local, report.streams))
