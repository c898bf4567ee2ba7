"""A deterministic stand-in model. Each token depends on all previous tokens and every layer.

The digest that enters layer 0 covers service, version, adapter and every token of the prefix. Each
layer hashes the digest of the previous layer with its own number, so a layer that is skipped, run
twice or run out of order yields a different token.
"""

import hashlib
from collections.abc import Iterable, Sequence

DIGEST_BYTES = 16
FIRST_LETTER_CODE = 97  # "a"; generated tokens are lower-case letters and spaces
LETTER_COUNT = 26


def start_digest(service: str, version: str, adapter: str | None) -> bytes:
    """Return the digest of an empty prefix."""
    return _hash(f"{service}\n{version}\n{adapter or ''}".encode())


def extend_digest(prefix: bytes, tokens: Iterable[int]) -> bytes:
    """Return the digest of a prefix with `tokens` appended."""
    for token in tokens:
        prefix = _hash(prefix + token.to_bytes(1, "big"))
    return prefix


def run_layers(digest: bytes, first: int, last: int) -> bytes:
    """Return the digest after layers `first` to `last - 1`."""
    for layer in range(first, last):
        digest = _hash(digest + layer.to_bytes(2, "big"))
    return digest


def sample_token(digest: bytes) -> int:
    """Return the token, in 0 to 255, sampled from the last layer's digest."""
    letter = digest[0] % (LETTER_COUNT + 6)
    return FIRST_LETTER_CODE + letter if letter < LETTER_COUNT else ord(" ")


def next_token(
    service: str, version: str, adapter: str | None, tokens: Sequence[int], layers: int
) -> int:
    """Return the token that follows `tokens`."""
    prefix = extend_digest(start_digest(service, version, adapter), tokens)
    return sample_token(run_layers(prefix, 0, layers))


def generate(
    service: str,
    version: str,
    adapter: str | None,
    prompt: Sequence[int],
    count: int,
    layers: int,
) -> list[int]:
    """Return the `count` tokens that follow `prompt`."""
    prefix = extend_digest(start_digest(service, version, adapter), prompt)
    answer = []
    for _ in range(count):
        answer.append(sample_token(run_layers(prefix, 0, layers)))
        prefix = extend_digest(prefix, answer[-1:])
    return answer


def _hash(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
