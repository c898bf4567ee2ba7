"""A keyed call together with the settings that apply to its key."""

import hashlib
import uuid

import msgspec

from minttide.ids import IdempotencyKey
from minttide.interfaces import KeyedCall

_UUIDV7_TIME_SHIFT_BITS = 80  # a version 7 UUID starts with 48 bits of milliseconds
_UUIDV7_VERSION = 7


class KeyedRequest(KeyedCall, frozen=True):
    """A keyed call with the key retention of its site and the duplicate check of its service.

    `rejects_duplicates` tells whether the service itself rejects duplicate calls.
    """

    remember_ms: int
    rejects_duplicates: bool

    @classmethod
    def from_call(
        cls, call: KeyedCall, remember_ms: int, rejects_duplicates: bool
    ) -> "KeyedRequest":
        """Return the request for a call."""
        parts = (call.account, call.service, call.key, call.call, call.deadline)
        return cls(*parts, remember_ms, rejects_duplicates)

    @property
    def scope(self) -> str:
        """Return the scope within which the key is unique."""
        return f"{self.account}/{self.service}"

    @property
    def digest(self) -> str:
        """Return a hex digest of the call, without its headers."""
        parts = (self.call.method, self.call.path, self.call.body)
        return hashlib.blake2b(msgspec.json.encode(parts), digest_size=16).hexdigest()

    def is_expired(self, now_ms: int) -> bool:
        """Return whether the key's own timestamp is older than the retention time."""
        created_ms = created_at_ms(self.key)
        return created_ms is not None and created_ms + self.remember_ms < now_ms


def created_at_ms(key: IdempotencyKey) -> int | None:
    """Return the timestamp of a UUIDv7 key in milliseconds since the epoch, None for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return parsed.int >> _UUIDV7_TIME_SHIFT_BITS if parsed.version == _UUIDV7_VERSION else None
