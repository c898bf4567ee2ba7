"""Requests drafts and compares each with the output that the stand-in model generates."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from minttide.config.service import ModelService
from minttide_cli.caller import Caller, CallerError, Draft, DraftRequest, UnreachableError
from minttide_fakes.model import generate

DRAFT_TOKENS = 40


@dataclass(frozen=True)
class DraftResult:
    """The draft received for a request, or the error that it failed with."""

    file: ModelService
    prompt: str
    draft: Draft | None
    error: str = ""

    @property
    def is_complete(self) -> bool:
        """Return whether the draft is exactly what the model generates for this prompt."""
        return (
            self.draft is not None
            and self.draft.is_complete
            and self.draft.tokens == self._expected_tokens()
        )

    def _expected_tokens(self) -> list[int]:
        prompt = list(self.prompt.encode())
        version = self.draft.version if self.draft else self.file.version
        layers = self.file.model.layers
        return generate(self.file.service, version, None, prompt, DRAFT_TOKENS, layers)


async def ask(caller: Caller, file: ModelService, prompt: str) -> DraftResult:
    """Request one draft."""
    try:
        draft = await caller.draft(file.service, DraftRequest(prompt, DRAFT_TOKENS))
    except (CallerError, UnreachableError) as exc:
        return DraftResult(file, prompt, None, str(exc))
    return DraftResult(file, prompt, draft)


async def ask_many(
    callers: Sequence[tuple[Caller, ModelService]], prompt: str, count: int
) -> list[DraftResult]:
    """Request `count` drafts concurrently, round-robin over `callers`."""
    targets = [callers[i % len(callers)] for i in range(count)]
    tasks = [ask(caller, file, f"{prompt} ({i})") for i, (caller, file) in enumerate(targets)]
    return list(await asyncio.gather(*tasks))


def describe(results: Sequence[DraftResult]) -> str:
    """Describe how many drafts were complete, and their latencies."""
    complete = [a.draft for a in results if a.is_complete and a.draft is not None]
    if not complete:
        return "; ".join(sorted({a.error or "differs from the model's output" for a in results}))
    first_s = sorted(draft.first_token_s for draft in complete)[len(complete) // 2]
    gap_s = max(draft.longest_gap_s for draft in complete)
    text = f"{len(complete)} of {len(results)} complete, first token after {first_s * 1000:.0f} ms"
    text += f" (median), longest gap {gap_s * 1000:.0f} ms"
    errors = sorted({a.error for a in results if a.error})
    return text + (f"; {'; '.join(errors)}" if errors else "")
