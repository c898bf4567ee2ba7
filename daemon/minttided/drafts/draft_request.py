"""Parsing and validation of draft requests."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from minttide.config.service import Account, ModelService
from minttide.decoding import MalformedBytesError, json_decoder
from minttide.ids import AdapterName, RequestId, ServiceName
from minttide.policy.chains import Chain
from minttide.problems import ProblemType
from minttided.drafts.resume_token import (
    BadResumeTokenError,
    ResumeState,
    digest_prompt,
    sign_resume_state,
    verify_resume_token,
)
from minttided.drafts.tokens import tokenize
from minttided.http.problems import rejection_error

DEFAULT_MAX_TOKENS = 256

TokenId = Annotated[int, msgspec.Meta(ge=0, le=255)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class DraftBody(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON body of a draft request.

    To resume a draft, `resume` is its resume token and `delivered` are the tokens that the caller
    has already received.
    """

    prompt: str
    max_tokens: PositiveInt | None = None
    adapter: str | None = None
    stream: bool = True
    deadline_ms: PositiveInt | None = None
    resume: str | None = None
    delivered: list[TokenId] = []


@dataclass(frozen=True)
class DraftRequest:
    """A validated draft request. `resumed` is set if it resumes an earlier draft."""

    model_service: ModelService
    account: Account
    prompt: list[int]
    delivered: list[int]
    max_tokens: int
    adapter: AdapterName | None
    stream: bool
    timeout_s: float
    resumed: ResumeState | None

    @property
    def service(self) -> ServiceName:
        """Return the model service that generates the draft."""
        return self.model_service.service

    @property
    def version(self) -> str | None:
        """Return the model version that a resumed draft must run on, None for a new draft."""
        return self.resumed.version if self.resumed is not None else None

    def make_resume_token(self, chain: Chain, request: RequestId, secret: str) -> str:
        """Return a token that resumes the draft, which runs as `request` on `chain`."""
        state = ResumeState(
            self.account.name,
            self.service,
            chain.version,
            self.adapter,
            digest_prompt(self.prompt),
            self.max_tokens,
            request,
            list(chain.engines),
        )
        return sign_resume_state(state, secret)


_decoder = json_decoder(DraftBody)


def parse_draft(
    body: bytes, model_service: ModelService, account: Account, secret: str
) -> DraftRequest:
    """Parse and validate the body of a draft request; raises `RequestError`."""
    try:
        draft = _decoder.decode(body)
    except MalformedBytesError as exc:
        raise rejection_error(ProblemType.BAD_REQUEST, f"invalid request body: {exc}") from exc
    prompt = tokenize(draft.prompt)
    max_tokens = draft.max_tokens or min(DEFAULT_MAX_TOKENS, model_service.max_tokens)
    _validate_draft(draft, prompt, max_tokens, model_service)
    deadline_ms = min(draft.deadline_ms or model_service.deadline_ms, model_service.deadline_ms)
    return DraftRequest(
        model_service,
        account,
        prompt,
        draft.delivered,
        max_tokens,
        AdapterName(draft.adapter) if draft.adapter is not None else None,
        draft.stream,
        deadline_ms / 1000.0,
        _verify_resume(draft, prompt, max_tokens, model_service, account, secret),
    )


def _validate_draft(
    draft: DraftBody, prompt: list[int], max_tokens: int, model_service: ModelService
) -> None:
    checks = (
        (bool(prompt), "the prompt is empty"),
        (
            len(prompt) <= model_service.max_prompt_tokens,
            f"the prompt has {len(prompt)} tokens; the limit is {model_service.max_prompt_tokens}",
        ),
        (max_tokens <= model_service.max_tokens, f"max_tokens is above {model_service.max_tokens}"),
        (
            draft.adapter is None or draft.adapter in model_service.adapters,
            f"the service has no adapter {draft.adapter!r}",
        ),
        (len(draft.delivered) <= max_tokens, "delivered has more than max_tokens tokens"),
        (not draft.delivered or draft.resume is not None, "delivered requires a resume token"),
    )
    for valid, detail in checks:
        if not valid:
            raise rejection_error(ProblemType.BAD_REQUEST, detail)


def _verify_resume(
    draft: DraftBody,
    prompt: list[int],
    max_tokens: int,
    model_service: ModelService,
    account: Account,
    secret: str,
) -> ResumeState | None:
    """Return the state in a resume token; raises `RequestError` if it doesn't fit the request."""
    if draft.resume is None:
        return None
    try:
        state = verify_resume_token(draft.resume, secret)
    except BadResumeTokenError as exc:
        raise rejection_error(ProblemType.BAD_REQUEST, str(exc)) from exc
    if state.account != account.name:
        raise rejection_error(ProblemType.FORBIDDEN, "the resume token belongs to another account")
    signed = (state.service, state.adapter, state.prompt_digest, state.max_tokens)
    if signed != (model_service.service, draft.adapter, digest_prompt(prompt), max_tokens):
        raise rejection_error(ProblemType.BAD_REQUEST, "the resume token belongs to another draft")
    return state
