"""Identifies a whole request by what its repeats share, as one more part of what it asks for."""

from hashlib import blake2b

from minttide.ids import AccountId, PromptPart

PREFIX = "request:"
"""Ids of parts that callers choose are cut at ':', so that none of them has this prefix."""

FINGERPRINT_BYTES = 16
LENGTH_BYTES = 8


def make_request_part(
    method: str, target: str, account: AccountId | None, body: bytes
) -> PromptPart:
    """Return the part that stands for a whole request, with its fingerprint in hexadecimal.

    It is the same for all tries of a request, at any host. The id of an attempt and all headers
    are left out, since they differ between tries.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (_encode(method), _encode(target), _encode(account or ""), body):
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))  # "a" + "bc" isn't "ab" + "c".
        digest.update(field)
    return PromptPart(PREFIX + digest.hexdigest())


def is_request_part(part: PromptPart) -> bool:
    """Return whether a part stands for a whole request."""
    return part.startswith(PREFIX)


def fingerprint_of(part: PromptPart) -> str:
    """Return the fingerprint in a part that stands for a whole request."""
    return part.removeprefix(PREFIX)


def _encode(text: str) -> bytes:
    return text.encode("utf-8", "surrogatepass")
