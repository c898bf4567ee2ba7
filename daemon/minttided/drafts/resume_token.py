"""Resume tokens: a signed note of a draft, with which any host of the site can take it up."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence

import msgspec

from minttide.ids import AccountId, AdapterName, RequestId, ServiceName, UpstreamId

SIGNATURE_BYTES = 16
MAX_TOKEN_CHARS = 2_048


class ResumeNote(msgspec.Struct, frozen=True, array_like=True):
    """What a resume token is bound to, and where the draft began to run.

    The host that takes the draft up has `engines` drop what they keep for `request`, since the host
    before it may have died without doing so.
    """

    account: AccountId
    service: ServiceName
    version: str
    adapter: AdapterName | None
    prompt_digest: str
    max_tokens: int
    request: RequestId
    engines: list[UpstreamId]


class BadResumeTokenError(Exception):
    """A resume token is not one that this site has signed."""


_decoder = msgspec.json.Decoder(ResumeNote)


def digest_prompt(tokens: Sequence[int]) -> str:
    """Return the digest of a prompt that its resume token is bound to."""
    return hashlib.blake2b(bytes(tokens), digest_size=16).hexdigest()


def sign_note(note: ResumeNote, secret: str) -> str:
    """Return the resume token of a draft."""
    payload = msgspec.json.encode(note)
    return _encode(_sign(payload, secret) + payload)


def verify_resume_token(token: str, secret: str) -> ResumeNote:
    """Return what a resume token is bound to; raises `BadResumeTokenError`."""
    if len(token) > MAX_TOKEN_CHARS:
        raise BadResumeTokenError("the resume token is too long")
    try:
        data = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
    except (binascii.Error, ValueError) as exc:
        raise BadResumeTokenError("the resume token is not well formed") from exc
    signature, payload = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(payload, secret)):
        raise BadResumeTokenError("the resume token's signature is wrong")
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BadResumeTokenError("the resume token is of another version") from exc


def _sign(payload: bytes, secret: str) -> bytes:
    return hmac.digest(secret.encode(), payload, "sha256")[:SIGNATURE_BYTES]


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode("ascii")
