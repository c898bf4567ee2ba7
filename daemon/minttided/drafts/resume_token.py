"""Resume tokens: the signed state of a draft, with which any host of the site can resume it."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence

import msgspec

from minttide.decoding import MalformedBytesError, json_decoder
from minttide.ids import AccountId, AdapterName, RequestId, ServiceName, UpstreamId

SIGNATURE_BYTES = 16
MAX_TOKEN_CHARS = 2_048


class ResumeState(msgspec.Struct, frozen=True, array_like=True):
    """The request that a resume token is bound to, and the engines that ran it.

    The host that resumes the draft has `engines` drop their state for `request`, since the previous
    host may have crashed before doing so.
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
    """A resume token was not signed by this site, or can't be decoded."""


_decoder = json_decoder(ResumeState)


def digest_prompt(tokens: Sequence[int]) -> str:
    """Return the hex digest of a prompt, to which its resume token is bound."""
    return hashlib.blake2b(bytes(tokens), digest_size=16).hexdigest()


def sign_resume_state(state: ResumeState, secret: str) -> str:
    """Return the signed resume token for `state`."""
    payload = msgspec.json.encode(state)
    return _encode_base64(_sign(payload, secret) + payload)


def verify_resume_token(token: str, secret: str) -> ResumeState:
    """Verify a resume token and return its state; raises `BadResumeTokenError`."""
    if len(token) > MAX_TOKEN_CHARS:
        raise BadResumeTokenError("the resume token is too long")
    try:
        data = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
    except (binascii.Error, ValueError) as exc:
        raise BadResumeTokenError("the resume token is not valid base64") from exc
    signature, payload = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(payload, secret)):
        raise BadResumeTokenError("the resume token has an invalid signature")
    try:
        return _decoder.decode(payload)
    except MalformedBytesError as exc:
        raise BadResumeTokenError("the resume token has an unknown format") from exc


def _sign(payload: bytes, secret: str) -> bytes:
    return hmac.digest(secret.encode(), payload, "sha256")[:SIGNATURE_BYTES]


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode("ascii")
