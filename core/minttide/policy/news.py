"""What a daemon knows of the engines when it chooses a chain, and the streams it expects there."""

from collections.abc import Mapping

import msgspec

from minttide.ids import UpstreamId
from minttide.steps import LoadReport

REPORT_STALE_MS = 5_000
"""A load report older than this says nothing."""


class ChainNews(msgspec.Struct):
    """What a daemon knows of the engines when it chooses. Times are in milliseconds.

    `own_streams` and `own_prefill` (prompt tokens waiting) are this daemon's own work and exact.
    `usual_prefill` is the average of the latter, taken to be that of each of `peers` daemons.
    `reports` come late. `cached` is the tokens of the prompt's prefix believed cached on an engine;
    an engine whose cache events had a gap is absent. `step_factor` is the step time seen over the
    rated one, above 1 where an engine or its link is slow.
    """

    now_ms: float
    own_streams: Mapping[UpstreamId, int] = {}
    own_prefill: Mapping[UpstreamId, float] = {}
    usual_prefill: Mapping[UpstreamId, float] = {}
    reports: Mapping[UpstreamId, LoadReport] = {}
    cached: Mapping[UpstreamId, int] = {}
    step_factor: Mapping[UpstreamId, float] = {}
    peers: float = 1.0  # daemons that use the same chains, taken to do as this one does


def estimate_streams(engine: UpstreamId, news: ChainNews) -> float:
    """Return the streams expected on an engine, own ones exact and others' from a late report."""
    own = news.own_streams.get(engine, 0)
    report = news.reports.get(engine)
    if report is None or news.now_ms - report.at_ms > REPORT_STALE_MS:
        return own * news.peers
    return float(max(own, report.streams))
