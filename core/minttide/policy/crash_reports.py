"""What hosts tell each other of requests under which engines crashed. Times are in seconds."""

from collections.abc import Iterable

import msgspec

from minttide.ids import PromptPart, ServiceName, UpstreamId


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="crash"):
    """A request that waited on an engine or other upstream when the process there ended.

    A stream waits for its first event, another request for its answer. `request` is its
    fingerprint, the same for all its tries. `parts` are the parts of its prompt that other requests
    may share, and one for the whole request. Times are in seconds: when the request was sent, and
    when the end of the process was noticed. `reporter` is the host that sent it.
    """

    service: ServiceName
    engine: UpstreamId
    born_ms: int
    request: str
    parts: tuple[PromptPart, ...]
    sent_s: float
    ended_s: float
    reporter: str = ""  # earlier releases don't send it

    @property
    def process(self) -> "Process":
        """Return what identifies the process that ended."""
        return self.engine, self.born_ms

    @property
    def name(self) -> "ReportName":
        """Return what identifies the report."""
        return self.engine, self.born_ms, self.request


class PartStart(msgspec.Struct, frozen=True, array_like=True, tag="start"):
    """A request with this part began to answer at `started_s`, in seconds."""

    service: ServiceName
    part: PromptPart
    started_s: float


class PartBlock(msgspec.Struct, frozen=True, array_like=True, tag="block"):
    """Requests whose prompts have all of `parts` are not sent to engines of the service.

    `ended_s` is the time of the last crash that led to the block, in seconds.
    """

    service: ServiceName
    parts: tuple[PromptPart, ...]
    ended_s: float

    @property
    def key(self) -> "BlockKey":
        """Return what identifies the block."""
        return self.service, self.parts


CrashNews = CrashReport | PartStart | PartBlock
"""What hosts tell each other."""

BlockKey = tuple[ServiceName, tuple[PromptPart, ...]]
Process = tuple[UpstreamId, int]
ReportName = tuple[UpstreamId, int, str]
PartKey = tuple[ServiceName, PromptPart]


def shift_times(news: CrashNews, by_s: float) -> CrashNews:
    """Return news with its times moved, to convert between clocks."""
    if isinstance(news, CrashReport):
        return msgspec.structs.replace(news, sent_s=news.sent_s + by_s, ended_s=news.ended_s + by_s)
    if isinstance(news, PartStart):
        return msgspec.structs.replace(news, started_s=news.started_s + by_s)
    return msgspec.structs.replace(news, ended_s=news.ended_s + by_s)


def count_in_a_row(reports: Iterable[CrashReport]) -> int:
    """Return the largest number of reports of different processes whose waits don't overlap."""
    crashes = 0
    last_ended_s = float("-inf")
    processes = set()
    for report in sorted(reports, key=lambda r: r.ended_s):
        if report.sent_s >= last_ended_s and report.process not in processes:
            crashes += 1
            last_ended_s = report.ended_s
            processes.add(report.process)
    return crashes
