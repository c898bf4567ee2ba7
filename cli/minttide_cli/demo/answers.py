"""Drafts that the demo asks for, and whether each answer is the model's own, whole and in order."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from minttide.config.service import ModelService
from minttide_cli.caller import Caller, CallerError, Draft, DraftRequest, UnreachableError
from minttide_fakes.model import generate

TOKENS = 40


@dataclass(frozen=True)
class Asked:
    """One draft that was asked for, with its answer or what went wrong."""

    file: ModelService
    prompt: str
    draft: Draft | None
    error: str = ""

    @property
    def whole(self) -> bool:
        """Return whether the answer is exactly what the model gives for this prompt."""
        return self.draft is not None and self.draft.whole and self.draft.tokens == self._expected()

    def _expected(self) -> list[int]:
        prompt = list(self.prompt.encode())
        version = self.draft.version if self.draft else self.file.version
        layers = self.file.model.layers
        return generate(self.file.service, version, None, prompt, TOKENS, layers)


async def ask(caller: Caller, file: ModelService, prompt: str) -> Asked:
    """Ask for one draft."""
    try:
        draft = await caller.draft(file.service, DraftRequest(prompt, TOKENS))
    except (CallerError, UnreachableError) as exc:
        return Asked(file, prompt, None, str(exc))
    return Asked(file, prompt, draft)


async def ask_many(
    callers: Sequence[tuple[Caller, ModelService]], prompt: str, count: int
) -> list[Asked]:
    """Ask for `count` drafts at the same time, in turns over callers and services."""
    picked = [callers[i % len(callers)] for i in range(count)]
    tasks = [ask(caller, file, f"{prompt} ({i})") for i, (caller, file) in enumerate(picked)]
    return list(await asyncio.gather(*tasks))


def describe(answers: Sequence[Asked]) -> str:
    """Say how many answers were whole, and how quick they were."""
    whole = [a.draft for a in answers if a.whole and a.draft is not None]
    if not whole:
        return "; ".join(sorted({a.error or "not the model's answer" for a in answers}))
    first = sorted(draft.first_token_s for draft in whole)[len(whole) // 2]
    gap = max(draft.longest_gap_s for draft in whole)
    text = f"{len(whole)} of {len(answers)} whole, first token after {first * 1000:.0f} ms"
    text += f" in the middle case, longest pause {gap * 1000:.0f} ms"
    errors = sorted({a.error for a in answers if a.error})
    return text + (f"; {'; '.join(errors)}" if errors else "")
