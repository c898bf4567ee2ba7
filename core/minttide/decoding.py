"""Decodes bytes that another process or a person wrote: JSON, MessagePack and what is compressed.

The one place for the errors that such bytes can cause. Bytes that are nested too deeply raise
`RecursionError`, for example, also in fields that nobody reads; whoever catches only
`msgspec.DecodeError` would end by them.
"""

import zlib
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

T = TypeVar("T")

MAX_UNPACKED_BYTES = 64 * 1024 * 1024


class MalformedBytesError(msgspec.DecodeError):
    """Bytes that aren't what they should be, in whatever way."""


_ERRORS = (ValueError, RecursionError, OverflowError, zlib.error)
"""What decoding raises; `msgspec.DecodeError` is a `ValueError`."""


class Decoder(Generic[T]):
    """Decodes one type. `decode` raises `MalformedBytesError` and nothing else."""

    def __init__(self, decode: Callable[[bytes], T]):
        self._decode = decode

    def decode(self, data: bytes) -> T:
        """Return the decoded value. Raises `MalformedBytesError`."""
        try:
            return self._decode(data)
        except _ERRORS as exc:
            raise MalformedBytesError(str(exc)) from exc


def json_decoder(type_: type[T]) -> Decoder[T]:
    """Return a decoder of JSON."""
    return Decoder(msgspec.json.Decoder(type_).decode)


def msgpack_decoder(type_: type[T]) -> Decoder[T]:
    """Return a decoder of MessagePack."""
    return Decoder(msgspec.msgpack.Decoder(type_).decode)


def decode_json(data: bytes, type_: type[T]) -> T:
    """Return a value of a type that isn't decoded often. Raises `MalformedBytesError`."""
    return json_decoder(type_).decode(data)


def decode_any_json(data: bytes) -> Any:
    """Return whatever value JSON holds. Raises `MalformedBytesError`."""
    return Decoder(msgspec.json.decode).decode(data)


def unpack(data: bytes) -> bytes:
    """Return what was compressed, `MAX_UNPACKED_BYTES` at most. Raises `MalformedBytesError`."""
    return Decoder(_decompress).decode(data)


def _decompress(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    unpacked = stream.decompress(data, MAX_UNPACKED_BYTES)
    if not stream.eof:
        raise ValueError("the compressed bytes are truncated or too many")
    return unpacked
