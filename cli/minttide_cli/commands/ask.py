"""`minttide ask`: streams a draft as a caller does."""

import click

from minttide_cli.caller import Caller, CallerError, Draft, DraftRequest, UnreachableError
from minttide_cli.options import (
    entry_option,
    fail,
    json_option,
    run,
    show_json,
    token_option,
    zone_option,
)

EXAMPLE = 'Example: minttide ask drafts "Which program suits a winter wedding?" --max-tokens 40'


@click.command(epilog=EXAMPLE)
@click.argument("service")
@click.argument("prompt")
@entry_option
@token_option
@zone_option
@click.option("--max-tokens", type=click.IntRange(1), default=64, show_default=True)
@click.option("--adapter", help="Model adapter to use.")
@click.option("--deadline-ms", type=click.IntRange(1), help="Deadline in milliseconds.")
@json_option
def ask(
    service: str,
    prompt: str,
    entries: tuple[str, ...],
    token: str,
    zone: str,
    max_tokens: int,
    adapter: str | None,
    deadline_ms: int | None,
    as_json: bool,
) -> None:
    """Stream a draft from SERVICE for PROMPT and print it token by token.

    If the connection is interrupted, the draft is resumed on another host.
    """
    request = DraftRequest(prompt, max_tokens, adapter, deadline_ms)
    caller = Caller(entries, token, zone)

    def show_token(text: str) -> None:
        if not as_json:
            click.echo(text, nl=False)

    try:
        draft = run(caller.draft(service, request, show_token), (UnreachableError,))
    except CallerError as exc:
        raise fail(str(exc)) from exc
    if as_json:
        show_json(_summary(draft))
    else:
        click.echo()
        click.echo(_describe(draft), err=True)


def _summary(draft: Draft) -> dict[str, object]:
    return {
        "text": draft.text,
        "tokens": draft.tokens,
        "version": draft.version,
        "connections": draft.connections,
        "first_token_s": round(draft.first_token_s, 4),
        "longest_gap_s": round(draft.longest_gap_s, 4),
    }


def _describe(draft: Draft) -> str:
    return (
        f"{len(draft.tokens)} tokens from version {draft.version}, first after"
        f" {draft.first_token_s * 1000:.0f} ms, longest gap {draft.longest_gap_s * 1000:.0f} ms,"
        f" {draft.connections} connection(s)"
    )
