"""Resumes streams after the loss of a stage: by KV cache import or by a paced new prefill."""

import heapq
import random
from collections.abc import Collection, Mapping, Sequence
from enum import Enum

import msgspec

from minttide.ids import ChainId, RequestId, UpstreamId
from minttide.policy.chains import Chain, ChainEstimator, LoadSnapshot

IMPORT_SETUP_MS = 5.0
"""Overhead of an export or import before the first byte is transferred."""

MAX_BACKLOG_MS = 1_000.0
"""Prefill work that may be queued on one chain; the rest waits in the router, in order."""


EXPORT_INTERVAL_TOKENS = 64
"""Number of new context tokens after which a stream's KV cache is worth exporting again."""


class ResumeMethod(Enum):
    """How a stream is resumed."""

    IMPORT = "import"
    PREFILL = "prefill"


class StageKvExport(msgspec.Struct, frozen=True):
    """One stage's exported KV cache: its handle, its source and the tokens that it covers."""

    handle: str
    engine: UpstreamId
    first: int
    last: int
    tokens: int


def is_export_due(tokens: int, exported: int) -> bool:
    """Return whether a stream of `tokens`, last exported at `exported`, is due for an export."""
    return tokens - exported >= EXPORT_INTERVAL_TOKENS


class Resume(msgspec.Struct, frozen=True):
    """How a stream is resumed, with the expected time to its next token in milliseconds."""

    method: ResumeMethod
    chain: Chain
    expected_ms: float
    kv_handles: tuple[str | None, ...] = ()
    reason: str = ""


def choose_resume(
    chains: Sequence[Chain],
    estimator: ChainEstimator,
    load: LoadSnapshot,
    tokens: int,
    version: str,
    exports: Sequence[StageKvExport] = (),
    avoid: Collection[UpstreamId] = (),
) -> Resume | None:
    """Choose the chain and method with the shortest expected time to the next token.

    `tokens` counts prompt and delivered tokens. Only chains of `version` are considered, since a
    stream can't continue on another model version. Returns None if no chain is left.
    """
    usable = [c for c in chains if c.version == version and not set(avoid).intersection(c.engines)]
    options: list[Resume] = []
    for chain in usable:
        prefill_ms = estimator.estimate(chain, tokens, load).first_token_ms
        options.append(Resume(ResumeMethod.PREFILL, chain, prefill_ms))
        imported = _rate_import(chain, estimator, load, tokens, exports)
        if imported is not None:
            options.append(imported)
    if not options:
        return None
    best = min(options, key=lambda o: o.expected_ms)
    reason = f"fastest of {len(options)} options on {len(usable)} chains"
    return msgspec.structs.replace(best, reason=reason)


def _rate_import(
    chain: Chain,
    estimator: ChainEstimator,
    load: LoadSnapshot,
    tokens: int,
    exports: Sequence[StageKvExport],
) -> Resume | None:
    """Rate an import; it needs for every stage an export of exactly its layers."""
    kv_handles: list[str | None] = []
    covered = tokens
    transfer_ms = 0.0
    for stage in chain.stages:
        candidates = [x for x in exports if (x.first, x.last) == (stage.first, stage.last)]
        if not candidates:
            return None
        export = max(candidates, key=lambda x: x.tokens)
        kv_handles.append(export.handle)
        covered = min(covered, export.tokens)
        if export.engine != stage.engine:
            moved_ms = estimator.kv_transfer_ms(chain.service, export.engine, stage, export.tokens)
            transfer_ms = max(transfer_ms, IMPORT_SETUP_MS + moved_ms)
    uncovered_tokens = max(1, tokens - covered)
    first_ms = estimator.estimate(chain, uncovered_tokens, load).first_token_ms
    return Resume(ResumeMethod.IMPORT, chain, transfer_ms + first_ms, tuple(kv_handles))


class StalledStream(msgspec.Struct, frozen=True):
    """A stream that waits to be resumed. `since_ms` is the time of its first failure.

    On the chains in `imports`, only `uncovered_tokens` of its `tokens` have to be prefilled.
    """

    request: RequestId
    tokens: int
    priority: int
    since_ms: float
    imports: frozenset[ChainId] = frozenset()
    uncovered_tokens: int = 0

    def prefill_tokens(self, chain: ChainId) -> int:
        """Return the number of tokens to prefill on a chain."""
        return max(1, self.uncovered_tokens) if chain in self.imports else self.tokens


class ResumeStart(msgspec.Struct, frozen=True):
    """A stream that may be resumed now, and the chain to use."""

    stalled: StalledStream
    chain: ChainId


class RecoveryPacer:
    """Resumes stalled streams no faster than the chains can prefill them.

    Times are in milliseconds. `sharing_hosts` hosts use the same chains and are assumed to send
    them the same load. Streams are ordered by priority, then by the time of their first failure,
    then by the length of the prefill. A stream that fails again while it is being resumed keeps the
    time of its first failure.
    """

    def __init__(
        self, rng: random.Random, sharing_hosts: int = 1, max_backlog_ms: float = MAX_BACKLOG_MS
    ):
        self._rng = rng
        self._sharing_hosts = sharing_hosts
        self._max_backlog_ms = max_backlog_ms
        self._queue: list[tuple[int, float, int, RequestId]] = []
        self._stalled: dict[RequestId, StalledStream] = {}
        self._first_failure_ms: dict[RequestId, float] = {}
        self._pending_ms: dict[ChainId, float] = {}
        self._started: dict[RequestId, tuple[ChainId, float]] = {}

    def __len__(self) -> int:
        return len(self._stalled)

    def add(self, stalled: StalledStream) -> None:
        """Queue a stream, also one that was started and has failed again."""
        self._release(stalled.request)
        since_ms = self._first_failure_ms.setdefault(stalled.request, stalled.since_ms)
        kept = msgspec.structs.replace(stalled, since_ms=since_ms)
        self._stalled[kept.request] = kept
        heapq.heappush(self._queue, (-kept.priority, kept.since_ms, kept.tokens, kept.request))

    def finish(self, request: RequestId) -> None:
        """Record that a stream delivers tokens again or was cancelled."""
        self._release(request)
        self._stalled.pop(request, None)
        self._first_failure_ms.pop(request, None)

    def drop_chain(self, chain: ChainId) -> None:
        """Discard the pending work of a chain that failed."""
        self._pending_ms.pop(chain, None)

    def next_start(self, prefill_ms_per_token: Mapping[ChainId, float]) -> ResumeStart | None:
        """Return the next stream that may start and its chain, or None.

        `prefill_ms_per_token` holds the usable chains with the prefill time of their slowest stage.
        """
        self._discard_finished()
        if not self._queue or not prefill_ms_per_token:
            return None
        stalled = self._stalled[self._queue[0][3]]
        chain = self._choose_chain(stalled, prefill_ms_per_token)
        if self._expected_backlog_ms(chain) > self._max_backlog_ms:
            return None
        heapq.heappop(self._queue)
        del self._stalled[stalled.request]
        work_ms = prefill_ms_per_token[chain] * stalled.prefill_tokens(chain)
        self._pending_ms[chain] = self._pending_ms.get(chain, 0.0) + work_ms
        self._started[stalled.request] = (chain, work_ms)
        return ResumeStart(stalled, chain)

    def _expected_backlog_ms(self, chain: ChainId) -> float:
        """Return the expected work queued on a chain if all hosts send it as much as this one."""
        return self._sharing_hosts * self._pending_ms.get(chain, 0.0)

    def _expected_completion_ms(
        self, chain: ChainId, stalled: StalledStream, per_token_ms: float
    ) -> float:
        return self._expected_backlog_ms(chain) + per_token_ms * stalled.prefill_tokens(chain)

    def _choose_chain(
        self, stalled: StalledStream, prefill_ms_per_token: Mapping[ChainId, float]
    ) -> ChainId:
        """Choose the chain with the earliest expected completion among a random half of the chains.

        The random sample makes hosts choose different chains.
        """
        names = sorted(prefill_ms_per_token)
        sample = self._rng.sample(names, -(-len(names) // 2)) if self._sharing_hosts > 1 else names
        return min(
            sample,
            key=lambda c: (self._expected_completion_ms(c, stalled, prefill_ms_per_token[c]), c),
        )

    def _release(self, request: RequestId) -> None:
        chain, work_ms = self._started.pop(request, (None, 0.0))
        if chain is not None and chain in self._pending_ms:
            self._pending_ms[chain] = max(0.0, self._pending_ms[chain] - work_ms)

    def _discard_finished(self) -> None:
        while self._queue and not self._is_current(self._queue[0]):
            heapq.heappop(self._queue)

    def _is_current(self, item: tuple[int, float, int, RequestId]) -> bool:
        stalled = self._stalled.get(item[3])
        return stalled is not None and item[:3] == (
            -stalled.priority,
            stalled.since_ms,
            stalled.tokens,
        )
