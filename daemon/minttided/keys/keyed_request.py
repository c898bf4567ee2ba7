"""One call that carries an idempotency key, as the parts that run it pass it on."""

import hashlib
import uuid

import msgspec

from minttide.ids import IdempotencyKey
from minttide.interfaces import KeyedCall

_UUID_TIME_SHIFT = 80  # a version 7 UUID opens with 48 bits of milliseconds
_UUID_TIME_VERSION = 7


class KeyedRequest(KeyedCall, frozen=True):
    """A keyed call with what its site and its service say about keys."""

    remember_ms: int
    rejects_duplicates: bool

    @classmethod
    def of(cls, call: KeyedCall, remember_ms: int, rejects_duplicates: bool) -> "KeyedRequest":
        """Return the request for a call."""
        parts = (call.account, call.service, call.key, call.call, call.deadline)
        return cls(*parts, remember_ms, rejects_duplicates)

    @property
    def scope(self) -> str:
        """Return the scope that the key is unique in."""
        return f"{self.account}/{self.service}"

    @property
    def digest(self) -> str:
        """Return a hex digest of the call, without its headers."""
        parts = (self.call.method, self.call.path, self.call.body)
        return hashlib.blake2b(msgspec.json.encode(parts), digest_size=16).hexdigest()

    def is_older_than_memory(self, now_ms: int) -> bool:
        """Return whether the key shows that it was made before what is still remembered."""
        made_ms = made_at_ms(self.key)
        return made_ms is not None and made_ms + self.remember_ms < now_ms


def made_at_ms(key: IdempotencyKey) -> int | None:
    """Return the time that a UUIDv7 key shows, in milliseconds since the epoch, if it is one."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return parsed.int >> _UUID_TIME_SHIFT if parsed.version == _UUID_TIME_VERSION else None
