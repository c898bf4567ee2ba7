"""Tokens of prompts and answers: the bytes of their UTF-8 text."""

import codecs
from collections.abc import Iterable

_decoder = codecs.getincrementaldecoder("utf-8")


def tokenize(text: str) -> list[int]:
    """Return the tokens of `text`, each in 0 to 255."""
    return list(text.encode("utf-8", "replace"))


class TextDecoder:
    """Turns tokens into text one by one; a character comes with its last token."""

    def __init__(self, delivered: Iterable[int] = ()):
        self._decoder = _decoder("replace")
        self._decoder.decode(bytes(delivered))

    def add(self, token: int) -> str:
        """Return the text that `token` completes, empty within a character."""
        return self._decoder.decode(bytes((token,)))


def decode_text(tokens: Iterable[int]) -> str:
    """Return the text of whole tokens, with a replacement mark for bytes that are no UTF-8."""
    return bytes(tokens).decode("utf-8", "replace")
