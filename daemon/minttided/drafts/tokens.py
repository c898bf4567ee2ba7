"""Conversion between text and tokens, which are the bytes of its UTF-8 encoding."""

import codecs
from collections.abc import Iterable

_utf8_decoder_class = codecs.getincrementaldecoder("utf-8")


def tokenize(text: str) -> list[int]:
    """Return the tokens of `text`, each from 0 to 255."""
    return list(text.encode("utf-8", "replace"))


class TextDecoder:
    """Decodes tokens incrementally; a character is returned with its last token.

    `delivered` are the tokens before the first one to decode.
    """

    def __init__(self, delivered: Iterable[int] = ()):
        self._decoder = _utf8_decoder_class("replace")
        self._decoder.decode(bytes(delivered))

    def add(self, token: int) -> str:
        """Return the text that `token` completes, empty inside a character."""
        return self._decoder.decode(bytes((token,)))


def decode_text(tokens: Iterable[int]) -> str:
    """Return the text of `tokens`, with U+FFFD in place of invalid UTF-8."""
    return bytes(tokens).decode("utf-8", "replace")
