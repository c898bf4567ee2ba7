"""Resuming streams after a stage was lost: by imported KV cache or a new prefill, and paced."""

import heapq
import random
from collections.abc import Collection, Mapping, Sequence
from enum import Enum

import msgspec

from minttide.ids import ChainId, RequestId, UpstreamId
from minttide.policy.chains import Chain, ChainEstimator, ChainNews

IMPORT_SETUP_MS = 5.0
"""Time of an export or import before the first byte moves."""

BACKLOG_MS = 1_000.0
"""Prefill work that may wait on one chain; the rest waits in the router, in order."""


EXPORT_EVERY_TOKENS = 64
"""Tokens of context after which it pays to export a stream's KV cache again."""


class ResumeWay(Enum):
    """How a stream goes on."""

    IMPORT = "import"
    PREFILL = "prefill"


class KvExport(msgspec.Struct, frozen=True):
    """KV cache of one stage that can be imported: its handle, source and the tokens it covers."""

    handle: str
    engine: UpstreamId
    first: int
    last: int
    tokens: int


def export_due(tokens: int, exported: int) -> bool:
    """Return whether a stream of `tokens` should export its KV cache, last done at `exported`."""
    return tokens - exported >= EXPORT_EVERY_TOKENS


class Resume(msgspec.Struct, frozen=True):
    """The way that a stream takes, with the expected time to its next token in milliseconds."""

    way: ResumeWay
    chain: Chain
    expected_ms: float
    handles: tuple[str | None, ...] = ()
    reason: str = ""


def choose_resume(
    chains: Sequence[Chain],
    estimator: ChainEstimator,
    news: ChainNews,
    tokens: int,
    version: str,
    exports: Sequence[KvExport] = (),
    avoid: Collection[UpstreamId] = (),
) -> Resume | None:
    """Choose chain and way with the least expected time to the next token.

    `tokens` counts prompt and delivered tokens. Only chains of `version` count, since a stream
    can't go on with another. Returns none where no chain is left.
    """
    usable = [c for c in chains if c.version == version and not set(avoid).intersection(c.engines)]
    options: list[Resume] = []
    for chain in usable:
        prefill_ms = estimator.estimate(chain, tokens, news).first_token_ms
        options.append(Resume(ResumeWay.PREFILL, chain, prefill_ms))
        imported = _import(chain, estimator, news, tokens, exports)
        if imported is not None:
            options.append(imported)
    if not options:
        return None
    best = min(options, key=lambda o: o.expected_ms)
    reason = f"soonest of {len(options)} ways on {len(usable)} chains"
    return msgspec.structs.replace(best, reason=reason)


def _import(
    chain: Chain,
    estimator: ChainEstimator,
    news: ChainNews,
    tokens: int,
    exports: Sequence[KvExport],
) -> Resume | None:
    """Rate an import; every stage needs an export of exactly its layers."""
    handles: list[str | None] = []
    covered = tokens
    transfer_ms = 0.0
    for stage in chain.stages:
        found = [x for x in exports if (x.first, x.last) == (stage.first, stage.last)]
        if not found:
            return None
        export = max(found, key=lambda x: x.tokens)
        handles.append(export.handle)
        covered = min(covered, export.tokens)
        if export.engine != stage.engine:
            moved_ms = estimator.kv_transfer_ms(chain.service, export.engine, stage, export.tokens)
            transfer_ms = max(transfer_ms, IMPORT_SETUP_MS + moved_ms)
    rest = max(1, tokens - covered)
    first_ms = estimator.estimate(chain, rest, news).first_token_ms
    return Resume(ResumeWay.IMPORT, chain, transfer_ms + first_ms, tuple(handles))


class Stalled(msgspec.Struct, frozen=True):
    """A stream that waits to be resumed. `since_ms` is when its first failure was seen.

    On the chains in `imports` only `rest` of its `tokens` have to be prefilled.
    """

    request: RequestId
    tokens: int
    priority: int
    since_ms: float
    imports: frozenset[ChainId] = frozenset()
    rest: int = 0

    def prefill_tokens(self, chain: ChainId) -> int:
        """Return the tokens to prefill on a chain."""
        return max(1, self.rest) if chain in self.imports else self.tokens


class Start(msgspec.Struct, frozen=True):
    """A stream that may be resumed now, on this chain."""

    stalled: Stalled
    chain: ChainId


class RecoveryPacer:
    """Lets stalled streams start no faster than chains can prefill them. Times are milliseconds.

    `peers` daemons use the same chains and are taken to do as this one does. Order: priority, then
    the older stall, then the shorter prefill. A stream that fails again while it is resumed keeps
    the time of its first stall.
    """

    def __init__(self, rng: random.Random, peers: int = 1, backlog_ms: float = BACKLOG_MS):
        self._rng = rng
        self._peers = peers
        self._backlog_ms = backlog_ms
        self._waiting: list[tuple[int, float, int, RequestId]] = []
        self._stalled: dict[RequestId, Stalled] = {}
        self._since: dict[RequestId, float] = {}
        self._busy_ms: dict[ChainId, float] = {}
        self._started: dict[RequestId, tuple[ChainId, float]] = {}

    def __len__(self) -> int:
        return len(self._stalled)

    def add(self, stalled: Stalled) -> None:
        """Queue a stream; one that had started and failed again comes back here."""
        self._release(stalled.request)
        since_ms = self._since.setdefault(stalled.request, stalled.since_ms)
        kept = msgspec.structs.replace(stalled, since_ms=since_ms)
        self._stalled[kept.request] = kept
        heapq.heappush(self._waiting, (-kept.priority, kept.since_ms, kept.tokens, kept.request))

    def finish(self, request: RequestId) -> None:
        """Note that a stream delivers tokens again, or was cancelled."""
        self._release(request)
        self._stalled.pop(request, None)
        self._since.pop(request, None)

    def drop_chain(self, chain: ChainId) -> None:
        """Forget the work on a chain that failed."""
        self._busy_ms.pop(chain, None)

    def next(self, prefill_ms_per_token: Mapping[ChainId, float]) -> Start | None:
        """Return the next stream that may start, on the chain with the least work waiting.

        `prefill_ms_per_token` names the usable chains with their bottleneck time.
        """
        self._discard_finished()
        if not self._waiting or not prefill_ms_per_token:
            return None
        stalled = self._stalled[self._waiting[0][3]]
        chain = self._pick(stalled, prefill_ms_per_token)
        if self._waiting_ms(chain) > self._backlog_ms:
            return None
        heapq.heappop(self._waiting)
        del self._stalled[stalled.request]
        work_ms = prefill_ms_per_token[chain] * stalled.prefill_tokens(chain)
        self._busy_ms[chain] = self._busy_ms.get(chain, 0.0) + work_ms
        self._started[stalled.request] = (chain, work_ms)
        return Start(stalled, chain)

    def _waiting_ms(self, chain: ChainId) -> float:
        """Return the work believed to wait on a chain, if all peers send it as much."""
        return self._peers * self._busy_ms.get(chain, 0.0)

    def _done_ms(self, chain: ChainId, stalled: Stalled, per_token_ms: float) -> float:
        return self._waiting_ms(chain) + per_token_ms * stalled.prefill_tokens(chain)

    def _pick(self, stalled: Stalled, speeds: Mapping[ChainId, float]) -> ChainId:
        """Pick the chain that would be done first, among a random half, so that peers differ."""
        names = sorted(speeds)
        sample = self._rng.sample(names, -(-len(names) // 2)) if self._peers > 1 else names
        return min(sample, key=lambda c: (self._done_ms(c, stalled, speeds[c]), c))

    def _release(self, request: RequestId) -> None:
        chain, work_ms = self._started.pop(request, (None, 0.0))
        if chain is not None and chain in self._busy_ms:
            self._busy_ms[chain] = max(0.0, self._busy_ms[chain] - work_ms)

    def _discard_finished(self) -> None:
        while self._waiting and not self._is_current(self._waiting[0]):
            heapq.heappop(self._waiting)

    def _is_current(self, item: tuple[int, float, int, RequestId]) -> bool:
        stalled = self._stalled.get(item[3])
        return stalled is not None and item[:3] == (
            -stalled.priority,
            stalled.since_ms,
            stalled.tokens,
        )
