"""Digests of token prefixes, by which routers and engines identify entries of a prompt cache."""

import hashlib
from collections.abc import Sequence

PREFIX_BLOCK_TOKENS = 32
"""Cached prefixes have a length that is a multiple of this many tokens."""


def prefix_digests(
    service: str, version: str, adapter: str | None, tokens: Sequence[int]
) -> list[str]:
    """Return the hex digests of all prefixes of `tokens` made of whole blocks, shortest first.

    Entry `i` is the digest of the first `(i + 1) * PREFIX_BLOCK_TOKENS` tokens. Tokens are in 0 to
    255.
    """
    running = hashlib.blake2b(f"{service}\n{version}\n{adapter or ''}\n".encode(), digest_size=16)
    digests = []
    for start in range(0, len(tokens) - PREFIX_BLOCK_TOKENS + 1, PREFIX_BLOCK_TOKENS):
        running.update(bytes(tokens[start : start + PREFIX_BLOCK_TOKENS]))
        digests.append(running.hexdigest())
    return digests
