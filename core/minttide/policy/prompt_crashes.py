"""Finds parts of requests that make upstreams crash, from what waited on each one that ended.

Some inputs crash every upstream that begins to answer them. Requests share parts of their prompts,
so each further request with such a part would crash one more engine; and a request alone is sent
again by its client. The whole request counts as one more part of it. All hosts exchange which
requests waited for their first event, or for their answer, on an upstream when its process ended,
and block a part once it explains several of these crashes in a row.

Many requests may wait on an engine that crashes, most of them by chance. What tells them apart:

- A request that has begun to answer shows that its parts don't crash engines. Crashes before that
  no longer count for them.
- Crashes count only one after the other: a request must have been sent after the previous crash
  that counts. Engines that are lost at the same moment, with an availability zone for example,
  count once for all requests that waited on them.
- A crash counts for the part that explains most crashes, not for the others that waited there.
- Parts that only ever occurred together are blocked only together.

Of a whole request and a part of its prompt that explain the same crashes, the request is blocked,
as others aren't concerned. A whole request is also blocked if it explains as many crashes as one
that is blocked: a sound one is free again once it is let through. `CrashCounter` says which of its
crashes count beside those in a row.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping

import msgspec

from minttide.ids import PromptPart, ServiceName
from minttide.policy.crash_counts import SETTLE_S, CrashCounter
from minttide.policy.crash_reports import (
    BlockKey,
    CrashNews,
    CrashReport,
    PartBlock,
    PartKey,
    PartStart,
    Process,
    ReportName,
    count_in_a_row,
)
from minttide.policy.part_starts import PartStarts
from minttide.policy.request_fingerprint import is_request_part

MIN_CRASHES = 3
"""Crashes in a row that a part must explain before it is blocked."""

MIN_REQUESTS = 2
"""Different requests among them, but for the part that stands for a whole request."""

MAX_AMBIGUOUS_CRASHES = 4
"""Crashes in a row up to which parts that explain them equally well are not blocked."""

TRIAL_DELAY_S = 5.0
"""Time from a block to the one request that is let through to find out whether it is wrong."""

CERTAIN_CRASHES = 5
"""Crashes after which no request is let through any more."""

MAX_REPORTS = 2048
"""Reports that are kept. The oldest are dropped, so that slow repetitions may go unnoticed."""

MAX_BLOCKS = 256
"""Blocks that are kept. The oldest are dropped."""


def _ignore(_: object) -> None:
    """Do nothing with a change."""


class PromptCrashes:
    """The reports of crashes known to one host, and the parts of prompts that it blocks.

    `on_news` is called with each change that other hosts should learn of, `on_block` with each new
    block and `on_unblock` with each that ends. All hosts with the same reports block the same
    parts.
    """

    def __init__(self) -> None:
        self.on_news: Callable[[CrashNews], None] = _ignore
        self.on_block: Callable[[PartBlock], None] = _ignore
        self.on_unblock: Callable[[PartBlock], None] = _ignore
        self._reports: dict[ReportName, CrashReport] = {}
        self._reports_by_part: defaultdict[PartKey, list[CrashReport]] = defaultdict(list)
        self._starts = PartStarts()
        self._blocks: dict[BlockKey, PartBlock] = {}
        self._blocks_by_part: defaultdict[PartKey, list[PartBlock]] = defaultdict(list)
        self._tried: set[BlockKey] = set()  # blocks past which a request was let through
        self._known: Counter[ServiceName] = Counter()  # reports and blocks of each service
        self._settled_s = float("-inf")
        self._unsettled: dict[PartKey, float] = {}  # when they can be decided on
        self._own: set[ReportName] = set()  # of the reports that are kept, those of this host

    @property
    def blocks(self) -> Mapping[BlockKey, PartBlock]:
        """Return the blocks in force."""
        return self._blocks

    @property
    def reports(self) -> Collection[CrashReport]:
        """Return the reports that are kept, the oldest first."""
        return self._reports.values()

    def concerns(self, service: ServiceName) -> bool:
        """Return whether there are reports or blocks of a service."""
        return self._known[service] > 0

    def find_block(self, service: ServiceName, parts: Collection[PromptPart]) -> PartBlock | None:
        """Return the block that applies to a request, if any."""
        for part in parts:
            for block in self._blocks_by_part.get((service, part), ()):
                if all(blocked in parts for blocked in block.parts):
                    return block
        return None

    def take_trial(self, block: PartBlock, now_s: float) -> bool:
        """Return whether one request may be sent although it is blocked, once for each block.

        A part that was blocked by chance would stay so if no request with it was under way. Only
        the host that reported the last crash makes the trial, and not after many crashes, nor if
        one has followed since it was due, as another host has made it.
        """
        due_s = block.ended_s + TRIAL_DELAY_S
        if now_s < due_s or block.key in self._tried:
            return False
        reports = self._find_unrefuted((block.service, block.parts[0]))
        last = max(reports, key=lambda r: (r.ended_s, r.name), default=None)
        if last is None or last.name not in self._own or last.ended_s > due_s:
            return False
        self._tried.add(block.key)
        return len({report.process for report in reports}) < CERTAIN_CRASHES

    # News, from this host or from others.

    def add(self, news: Iterable[CrashNews], own: bool = False) -> None:
        """Apply news, `own` if it is this host's; what was known already has no effect."""
        touched: set[PartKey] = set()
        for item in news:
            if isinstance(item, CrashReport):
                touched |= self._add_report(item, own)
            elif isinstance(item, PartStart):
                self._record_start((item.service, item.part), item.started_s)
            else:
                self._add_block(item)
        if any(count_in_a_row(self._find_unrefuted(key)) >= MIN_CRASHES for key in touched):
            self._update_blocks({service for service, _ in touched})
        for key in touched:
            self._await_settled(key)

    def settle(self, now_s: float) -> None:
        """Decide on whole requests by crashes whose waits overlapped; call this now and then."""
        self._settled_s = max(self._settled_s, now_s - SETTLE_S)
        due = [key for key, at_s in self._unsettled.items() if at_s <= now_s]
        for key in due:
            del self._unsettled[key]
        self._update_blocks({service for service, _ in due})

    def _await_settled(self, key: PartKey) -> None:
        """Decide later on a whole request that isn't blocked, if its crashes may be enough."""
        if not is_request_part(key[1]) or key in self._blocks_by_part:
            return
        reports = self._find_unrefuted(key)
        if len({report.process for report in reports}) >= MIN_CRASHES:
            self._unsettled[key] = max(report.ended_s for report in reports) + SETTLE_S

    def record_start(self, service: ServiceName, parts: Iterable[PromptPart], now_s: float) -> None:
        """Record that a request with these parts has begun to answer."""
        for part in parts:
            self._record_start((service, part), now_s)

    def _add_report(self, report: CrashReport, own: bool) -> set[PartKey]:
        """Add a report; return the parts for which it is evidence.

        Of a request that several hosts had sent to one process, all keep the first host's by name:
        an order by times, which differ a little between hosts, could go round in a circle.
        """
        name = report.name
        known = self._reports.get(name)
        if known is not None and report.reporter >= known.reporter:
            return set()
        if known is not None:
            self._drop_report(name)
        if len(self._reports) >= MAX_REPORTS:
            self._drop_report(next(iter(self._reports)))
        self._reports[name] = report
        if own:
            self._own.add(name)
        self._known[report.service] += 1
        keys = {(report.service, part) for part in report.parts}
        for key in keys:
            self._reports_by_part[key].append(report)
        self.on_news(report)
        for key in keys:
            started_s = self._starts.last_s(key)
            if started_s > report.ended_s:
                self.on_news(PartStart(*key, started_s))  # Other hosts may not know it.
        return keys

    def _drop_report(self, name: ReportName) -> None:
        report = self._reports.pop(name)
        self._own.discard(name)
        self._known[report.service] -= 1
        for part in set(report.parts):
            key = (report.service, part)
            self._reports_by_part[key].remove(report)
            if not self._reports_by_part[key]:
                del self._reports_by_part[key]

    def _record_start(self, key: PartKey, started_s: float) -> None:
        before_s = self._starts.record(key, started_s)
        if started_s <= before_s:
            return
        is_news = any(before_s < r.ended_s < started_s for r in self._reports_by_part.get(key, ()))
        blocks = [b for b in self._blocks_by_part.get(key, ()) if b.ended_s < started_s]
        if is_news or blocks:
            self.on_news(PartStart(*key, started_s))
        for block in blocks:
            self._remove_block(block)
        for block in blocks:  # Only now: adding one may remove others.
            self._add_block(block)

    def _remove_block(self, block: PartBlock) -> None:
        del self._blocks[block.key]
        self._known[block.service] -= 1
        for part in block.parts:
            key = (block.service, part)
            self._blocks_by_part[key].remove(block)
            if not self._blocks_by_part[key]:
                del self._blocks_by_part[key]
        self._tried.discard(block.key)
        self.on_unblock(block)

    def _add_block(self, block: PartBlock) -> None:
        """Add a block, without the parts that have begun to answer since."""
        suspects = tuple(
            part
            for part in block.parts
            if self._starts.last_s((block.service, part)) < block.ended_s
        )
        if not suspects:
            return
        block = msgspec.structs.replace(block, parts=suspects)
        if block.key in self._blocks or self._is_superseded(block):
            return
        for other in list(self._blocks.values()):
            if other.service == block.service and set(suspects) < set(other.parts):
                self._remove_block(other)
        if len(self._blocks) >= MAX_BLOCKS:
            self._remove_block(next(iter(self._blocks.values())))
        self._blocks[block.key] = block
        self._known[block.service] += 1
        for part in block.parts:
            self._blocks_by_part[(block.service, part)].append(block)
        self.on_news(block)
        self.on_block(block)
        for other in list(self._blocks.values()):
            if self._is_superseded(other):
                self._remove_block(other)

    # Which part explains the crashes.

    def _update_blocks(self, services: Collection[ServiceName]) -> None:
        for service in services:
            reports = (r for r in self._reports.values() if r.service == service)
            counter = CrashCounter(reports, self._settled_s)
            explained = self._find_explained(service, counter)
            while causes := _find_causes(
                evidence := self._find_evidence(service, explained, counter), counter
            ):
                for parts in causes:
                    found = evidence[parts[0]]
                    ended_s = max(report.ended_s for report in found)
                    self._add_block(PartBlock(service, parts, ended_s))
                    _add_explained(explained, found, counter.count(parts[0], found))

    def _find_explained(self, service: ServiceName, counter: CrashCounter) -> dict[Process, int]:
        """Return the processes that ended under a part that is blocked by itself.

        With each process, this returns how many crashes the part explains. Of parts that
        are blocked together, a later crash may show which one was the cause.
        """
        explained: dict[Process, int] = {}
        for of_service, parts in self._blocks:
            if of_service != service or len(parts) > 1:
                continue
            reports = self._reports_by_part.get((service, parts[0]), ())
            _add_explained(explained, reports, counter.count(parts[0], reports))
        return explained

    def _find_evidence(
        self, service: ServiceName, explained: Mapping[Process, int], counter: CrashCounter
    ) -> dict[PromptPart, list[CrashReport]]:
        """Return the reports for each part that no start of an answer refutes.

        Crashes that a blocked part explains count only for a part that explains more than that one:
        the blocked part may have waited there by chance.
        """
        evidence = {}
        for (of_service, part), reports in self._reports_by_part.items():
            if of_service != service or len(reports) < MIN_CRASHES:
                continue
            found = self._find_unrefuted((service, part))
            if self._is_explained((service, part), found, explained, counter):
                found = [report for report in found if report.process not in explained]
            if len(found) >= MIN_CRASHES:
                evidence[part] = found
        return evidence

    def _is_explained(
        self,
        key: PartKey,
        found: Collection[CrashReport],
        explained: Mapping[Process, int],
        counter: CrashCounter,
    ) -> bool:
        """Return whether the parts blocked so far explain the crashes `found` for a part as well.

        A whole request that explains as many as they do is as likely the cause: which of two
        reached its third crash first depends on the order of the reports.
        """
        by_others = max((explained.get(report.process, 0) for report in found), default=0)
        crashes = counter.count(key[1], found)
        if is_request_part(key[1]) and key not in self._blocks_by_part:
            return crashes < by_others
        return crashes <= by_others

    def _find_unrefuted(self, key: PartKey) -> list[CrashReport]:
        """Return the reports of a part since a request with it last began to answer."""
        since_s = self._starts.last_s(key)
        return [r for r in self._reports_by_part.get(key, ()) if r.ended_s > since_s]

    def _find_processes(self, block: BlockKey) -> set[Process]:
        """Return the processes that ended under a part that is blocked by itself."""
        service, (part,) = block
        return {report.process for report in self._reports_by_part.get((service, part), ())}

    def _is_superseded(self, block: PartBlock) -> bool:
        """Return whether another blocked part explains all crashes of a block, and more."""
        if len(block.parts) > 1:
            return False
        processes = self._find_processes(block.key)
        others = (key for key in self._blocks if key != block.key and key[0] == block.service)
        return bool(processes) and any(
            processes < self._find_processes(key) for key in others if len(key[1]) == 1
        )


def _add_explained(
    explained: dict[Process, int], reports: Collection[CrashReport], crashes: int
) -> None:
    """Add the processes of a part's reports, with the number of crashes that it explains."""
    for report in reports:
        explained[report.process] = max(crashes, explained.get(report.process, 0))


def _find_causes(
    evidence: Mapping[PromptPart, list[CrashReport]], counter: CrashCounter
) -> list[tuple[PromptPart, ...]]:
    """Return the parts, or the parts that only occurred together, that explain most crashes.

    Of parts that explain the same crashes equally well none is returned, up to
    `MAX_AMBIGUOUS_CRASHES` in a row: the next crash may decide. But whole requests go before parts
    of their prompts.
    """
    crashes = {
        part: counter.count(part, reports)
        for part, reports in evidence.items()
        if is_request_part(part) or len({r.request for r in reports}) >= MIN_REQUESTS
    }
    most = max(crashes.values(), default=0)
    if most < MIN_CRASHES:
        return []
    suspects = [part for part, crash_count in crashes.items() if crash_count == most]
    suspects = [part for part in suspects if is_request_part(part)] or suspects
    together: defaultdict[frozenset[CrashReport], list[PromptPart]] = defaultdict(list)
    for part in suspects:
        together[frozenset(evidence[part])].append(part)
    groups_at = Counter(
        process for reports in together for process in {report.process for report in reports}
    )
    return [
        tuple(sorted(parts))
        for reports, parts in together.items()
        if count_in_a_row(reports) > MAX_AMBIGUOUS_CRASHES
        or all(groups_at[r.process] == 1 for r in reports)
    ]
