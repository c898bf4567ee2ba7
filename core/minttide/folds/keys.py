"""The fold of a key stream: decides which claim of an idempotency key may dispatch its call."""

import heapq
import sys
from enum import Enum

import msgspec

from minttide.folds.fold import BaseState, ChangeResult, Decision, StreamFold, make_result
from minttide.ids import NO_OFFSET, ClaimId, HostId, IdempotencyKey, Incarnation, Offset
from minttide.records import (
    Answer,
    Claim,
    Envelope,
    KeyBatch,
    KeyChange,
    Withdrawal,
)

MAX_CLAIM_AGE_MS = 60 * 1000
"""Age against the fold's time above which a claim is rejected as a late copy."""

MIN_KEY_RETENTION_MS = 10 * 60 * 1000
"""The shortest time that a key is retained; far above `MAX_CLAIM_AGE_MS`, so that no copy of a
claim can be accepted after its key has expired."""


class KeyStatus(Enum):
    """The progress of a key's call according to the log."""

    FREE = "free"  # claimed and withdrawn
    CLAIMED = "claimed"  # its call may have run
    ANSWERED = "answered"


class KeptAnswer(msgspec.Struct, frozen=True, gc=False):
    """The recorded answer of a call. `body` is None if it was too large to store."""

    status: int
    content_type: str
    body: bytes | None


class KeyEntry(msgspec.Struct, frozen=True, gc=False):
    """The state of one key. `answer` is set once `status` is `ANSWERED`."""

    status: KeyStatus
    changed: Offset
    claim_id: ClaimId
    host: HostId
    incarnation: Incarnation
    digest: str
    expires_ms: int
    remember_ms: int
    answer: KeptAnswer | None = None


class _State(BaseState):
    keys: dict[str, KeyEntry] = {}


def key_name(scope: str, key: IdempotencyKey) -> str:
    """Return the fold's index name of a key; it is unique since scopes contain no line feed."""
    return f"{scope}\n{key}"


def _make_answer(change: Answer) -> KeptAnswer:
    # A shard holds tens of thousands of answers with few content types, so these are interned.
    return KeptAnswer(change.status, sys.intern(change.content_type), change.body)


class KeyFold(StreamFold[_State]):
    """The keys of one shard after the records folded so far."""

    def __init__(self) -> None:
        super().__init__(_State)
        self._expiry: list[tuple[int, str]] = []  # heap of expiry times and key names

    def __len__(self) -> int:
        return len(self._state.keys)

    def find(self, scope: str, key: IdempotencyKey) -> KeyEntry | None:
        """Return the entry of a key, or None if it has none or has expired."""
        entry = self._state.keys.get(key_name(scope, key))
        return entry if entry and entry.expires_ms >= self.now_ms else None

    def changed(self, scope: str, key: IdempotencyKey) -> Offset:
        """Return the offset of a key's last change, or -1 if it has no entry."""
        entry = self.find(scope, key)
        return entry.changed if entry else NO_OFFSET

    def _decide_record(self, offset: Offset, envelope: Envelope) -> list[ChangeResult]:
        body = envelope.body
        if not isinstance(body, KeyBatch):
            return [make_result(offset, envelope, Decision.FOREIGN)]
        return [
            ChangeResult(
                offset,
                self._decide(offset, envelope, change),
                envelope.host,
                envelope.incarnation,
                change,
                index=index,
            )
            for index, change in enumerate(body.changes)
        ]

    def _decide(self, offset: Offset, envelope: Envelope, change: KeyChange) -> Decision:
        if isinstance(change, Claim):
            return self._decide_claim(offset, envelope, change)
        entry = self.find(change.scope, change.key)
        if entry is None or entry.claim_id != change.claim_id:
            return Decision.STALE
        if (entry.host, entry.incarnation) != (envelope.host, envelope.incarnation):
            return Decision.STALE
        final_status = KeyStatus.FREE if isinstance(change, Withdrawal) else KeyStatus.ANSWERED
        if entry.status is final_status:
            return Decision.REPEATED
        if entry.status is not KeyStatus.CLAIMED:
            return Decision.STALE
        self._finish_claim(offset, envelope, change, entry)
        return Decision.ACCEPTED

    def _decide_claim(self, offset: Offset, envelope: Envelope, claim: Claim) -> Decision:
        if envelope.time_ms < self.now_ms - MAX_CLAIM_AGE_MS:
            return Decision.TOO_OLD
        entry = self.find(claim.scope, claim.key)
        if entry is not None and entry.claim_id == claim.claim_id:
            return Decision.REPEATED
        if claim.seen != self.changed(claim.scope, claim.key):
            return Decision.STALE
        if entry is not None and entry.status is not KeyStatus.FREE:
            return Decision.STALE
        remember_ms = max(claim.remember_ms, MIN_KEY_RETENTION_MS)
        expires_ms = max(envelope.time_ms, self.now_ms) + remember_ms
        if entry is not None:
            expires_ms = max(expires_ms, entry.expires_ms)
        self._put(
            claim,
            KeyEntry(
                KeyStatus.CLAIMED,
                offset,
                claim.claim_id,
                HostId(sys.intern(envelope.host)),
                envelope.incarnation,
                claim.digest,
                expires_ms,
                remember_ms,
            ),
        )
        return Decision.ACCEPTED

    def _finish_claim(
        self, offset: Offset, envelope: Envelope, change: Withdrawal | Answer, entry: KeyEntry
    ) -> None:
        expires_ms = max(entry.expires_ms, envelope.time_ms + entry.remember_ms)
        answer = _make_answer(change) if isinstance(change, Answer) else None
        self._put(
            change,
            msgspec.structs.replace(
                entry,
                status=KeyStatus.ANSWERED if answer else KeyStatus.FREE,
                changed=offset,
                expires_ms=expires_ms,
                answer=answer,
            ),
        )

    def _put(self, change: KeyChange, entry: KeyEntry) -> None:
        name = key_name(change.scope, change.key)
        if name not in self._state.keys:
            heapq.heappush(self._expiry, (entry.expires_ms, name))
        self._state.keys[name] = entry

    def _drop_expired(self) -> None:
        keys = self._state.keys
        while self._expiry and self._expiry[0][0] < self.now_ms:
            _, name = heapq.heappop(self._expiry)
            expires_ms = keys[name].expires_ms
            if expires_ms < self.now_ms:
                del keys[name]
            else:
                heapq.heappush(self._expiry, (expires_ms, name))

    def _rebuild_indexes(self) -> None:
        self._expiry = [(e.expires_ms, n) for n, e in self._state.keys.items()]
        heapq.heapify(self._expiry)
