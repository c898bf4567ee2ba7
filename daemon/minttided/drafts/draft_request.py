"""The body of a draft request and its checks."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from minttide.config.service import Account, ModelService
from minttide.ids import AdapterName, RequestId, ServiceName
from minttide.outcome import ProblemType
from minttide.policy.chains import Chain
from minttided.drafts.resume_token import (
    BadResumeTokenError,
    ResumeNote,
    digest_prompt,
    sign_note,
    verify_resume_token,
)
from minttided.drafts.tokens import tokenize
from minttided.http.problems import refusal

DEFAULT_TOKENS = 256

TokenId = Annotated[int, msgspec.Meta(ge=0, le=255)]
Positive = Annotated[int, msgspec.Meta(ge=1)]


class DraftBody(msgspec.Struct, forbid_unknown_fields=True):
    """What a caller posts. `delivered` are the tokens that it has, for `resume` to go on after."""

    prompt: str
    max_tokens: Positive | None = None
    adapter: str | None = None
    stream: bool = True
    deadline_ms: Positive | None = None
    resume: str | None = None
    delivered: list[TokenId] = []


@dataclass(frozen=True)
class DraftRequest:
    """A checked draft request. `resumed` is set where a draft is taken up again."""

    file: ModelService
    account: Account
    prompt: list[int]
    delivered: list[int]
    max_tokens: int
    adapter: AdapterName | None
    stream: bool
    deadline_s: float
    resumed: ResumeNote | None

    @property
    def service(self) -> ServiceName:
        """Return the service that is asked for the draft."""
        return self.file.service

    @property
    def version(self) -> str | None:
        """Return the version that a resumed draft runs on."""
        return self.resumed.version if self.resumed is not None else None

    def sign_resume(self, chain: Chain, request: RequestId, secret: str) -> str:
        """Return the token by which the draft can be taken up after `chain`."""
        note = ResumeNote(
            self.account.name,
            self.service,
            chain.version,
            self.adapter,
            digest_prompt(self.prompt),
            self.max_tokens,
            request,
            list(chain.engines),
        )
        return sign_note(note, secret)


_decoder = msgspec.json.Decoder(DraftBody)


def parse_draft(body: bytes, file: ModelService, account: Account, secret: str) -> DraftRequest:
    """Check the body of a draft request; raises `RequestError`."""
    try:
        draft = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise refusal(ProblemType.BAD_REQUEST, f"the body doesn't parse: {exc}") from exc
    prompt = tokenize(draft.prompt)
    max_tokens = draft.max_tokens or min(DEFAULT_TOKENS, file.max_tokens)
    _check_sizes(draft, prompt, max_tokens, file)
    deadline_ms = min(draft.deadline_ms or file.deadline_ms, file.deadline_ms)
    return DraftRequest(
        file,
        account,
        prompt,
        draft.delivered,
        max_tokens,
        AdapterName(draft.adapter) if draft.adapter is not None else None,
        draft.stream,
        deadline_ms / 1000.0,
        _open_resume(draft, prompt, max_tokens, file, account, secret),
    )


def _check_sizes(draft: DraftBody, prompt: list[int], max_tokens: int, file: ModelService) -> None:
    checks = (
        (bool(prompt), "the prompt is empty"),
        (
            len(prompt) <= file.max_prompt_tokens,
            f"the prompt has {len(prompt)} tokens, at most {file.max_prompt_tokens} are allowed",
        ),
        (max_tokens <= file.max_tokens, f"max_tokens is above {file.max_tokens}"),
        (
            draft.adapter is None or draft.adapter in file.adapters,
            f"the service has no adapter {draft.adapter!r}",
        ),
        (len(draft.delivered) <= max_tokens, "more tokens were delivered than asked for"),
        (not draft.delivered or draft.resume is not None, "delivered needs a resume token"),
    )
    for passed, detail in checks:
        if not passed:
            raise refusal(ProblemType.BAD_REQUEST, detail)


def _open_resume(
    draft: DraftBody,
    prompt: list[int],
    max_tokens: int,
    file: ModelService,
    account: Account,
    secret: str,
) -> ResumeNote | None:
    """Return what a resumed draft's token says; raises `RequestError` for a wrong one."""
    if draft.resume is None:
        return None
    try:
        note = verify_resume_token(draft.resume, secret)
    except BadResumeTokenError as exc:
        raise refusal(ProblemType.BAD_REQUEST, str(exc)) from exc
    if note.account != account.name:
        raise refusal(ProblemType.FORBIDDEN, "the resume token is another account's")
    bound = (note.service, note.adapter, note.prompt_digest, note.max_tokens)
    if bound != (file.service, draft.adapter, digest_prompt(prompt), max_tokens):
        raise refusal(ProblemType.BAD_REQUEST, "the resume token is of another draft")
    return note
