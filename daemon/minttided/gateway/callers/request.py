"""A caller's request, and the headers with which the gateway forwards it."""

from collections.abc import Sequence

import msgspec

from minttide.ids import PromptPart, ServiceName, UpstreamId
from minttide.layers.paths import RequestSize
from minttide.policy.prefix_affinity import SizedPart, prompt_prefixes
from minttide.routing.headers import HeaderNames
from minttide.routing.routes import AccountKeys, ModelSpec, Route
from minttided.http.messages import Headers, HttpRequest

LAST_EVENT_ID = "last-event-id"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
"""Headers that apply to a single connection and aren't forwarded."""

MS_PER_S = 1000.0

MAX_PROMPT_PARTS = 32
"""Parts of a prompt that are told apart; what follows counts as one part."""

MAX_ID_LENGTH = 64
"""Characters of an id given by a caller that are told apart."""

MAX_PART_DIGITS = 9
"""Longest number of tokens of a part of a prompt."""

MAX_EVENT_ID_DIGITS = 40
"""Longest event id that a caller names; upstreams give none that is longer."""

URGENCY_STEP = 2
"""Difference in urgency between two consecutive priorities."""

MAX_URGENCY = 9


class GatewayRequest(msgspec.Struct, frozen=True):
    """A request with its route, service and account. Times are in loop seconds.

    `suspended_s` is for how long the machine had been suspended when the request was received.

    `attempt_id` is the caller's id of this attempt, empty if it sent none. `deadline_s` is when the
    caller stops waiting, `limit_s` when the timeout of the route ends. `max_upstreams` is how many
    upstreams may run a request that another host has passed on, 0 for as many as the route allows.
    """

    req: HttpRequest
    attempt_id: str
    route: Route
    service: ServiceName
    account: AccountKeys | None
    received_s: float
    deadline_s: float
    limit_s: float
    suspended_s: float = 0.0
    max_upstreams: int = 0

    @property
    def max_attempts(self) -> int:
        """Return how many upstreams of this host may run the request."""
        limit = self.route.max_attempts
        return min(limit, self.max_upstreams) if self.max_upstreams else limit

    @property
    def end_s(self) -> float:
        """Return the time by which the response must be complete."""
        return min(self.deadline_s, self.limit_s)

    @property
    def priority(self) -> int:
        """Return the priority, 0 being the highest; the account's overrides the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def end_to_end_headers(headers: Sequence[tuple[str, str]]) -> Headers:
    """Return the headers without those that apply to a single connection."""
    per_connection = {
        name.strip().lower() for n, v in headers if n == "connection" for name in v.split(",")
    }
    return [(n, v) for n, v in headers if n not in HOP_BY_HOP and n not in per_connection]


def upstream_headers(request: GatewayRequest, names: HeaderNames, left_s: float) -> Headers:
    """Return the request headers for an upstream, without those that identify the upstream.

    The deadline header holds the time that is left.
    """
    replaced = {
        "authorization",
        "content-length",
        names.account,
        names.deadline_ms,
        names.expect_instance,
        names.path,
        names.urgency,
    }
    headers = [(n, v) for n, v in end_to_end_headers(request.req.headers) if n not in replaced]
    left_ms = max(1, int(left_s * MS_PER_S))
    headers.append((names.deadline_ms, str(left_ms)))
    if request.account is not None:
        headers.append((names.account, request.account.account))
    if request.req.body or request.req.header("content-length") is not None:
        headers.append(("content-length", str(len(request.req.body))))
    return headers


def stream_headers(
    request: GatewayRequest,
    names: HeaderNames,
    first: UpstreamId,
    path: str,
    last_event_id: int | None,
    left_s: float,
) -> Headers:
    """Return the request headers for `first`, the first engine of a path.

    With `last_event_id`, the engine resumes the stream after that event.
    """
    headers = [(n, v) for n, v in upstream_headers(request, names, left_s) if n != LAST_EVENT_ID]
    if last_event_id is not None:
        headers.append((LAST_EVENT_ID, str(last_event_id)))
    headers.append((names.expect_instance, first))
    headers.append((names.path, path))
    headers.append((names.urgency, str(min(MAX_URGENCY, URGENCY_STEP * request.priority))))
    return headers


def parse_request_size(req: HttpRequest, names: HeaderNames, model: ModelSpec) -> RequestSize:
    """Return the size of a request from its headers, with the model's typical sizes as defaults."""
    prompt, answer = model.usual_prompt, model.usual_answer
    numbers = [_parse_number(t) for t in (req.header(names.prompt_tokens) or "").split(",")]
    if numbers and numbers[0] is not None:
        prompt = numbers[0]
    if len(numbers) > 1 and numbers[1] is not None:
        answer = min(answer, numbers[1])
    hint = _parse_number(req.header(names.length_hint) or "")
    if hint is not None:
        answer = hint
    prefixes = None
    if model.retained_tokens:
        prefixes = prompt_prefixes(model.name, parse_sized_parts(req, names))
    return RequestSize(prompt, max(1.0, answer), prefixes)


def parse_prompt_parts(req: HttpRequest, names: HeaderNames) -> tuple[PromptPart, ...]:
    """Return the ids of the parts of a request's prompt, in order, empty if it names none.

    Callers choose the ids, so their number and length are bounded.
    """
    return tuple(sized.part for sized in parse_sized_parts(req, names))


def parse_sized_parts(req: HttpRequest, names: HeaderNames) -> tuple[SizedPart, ...]:
    """Return the parts of a request's prompt with their tokens, in order, as `parse_prompt_parts`.

    The size of a part is 0 if the caller gives no number of at most `MAX_PART_DIGITS` digits.
    """
    entries = (req.header(names.prompt_parts) or "").split(",", MAX_PROMPT_PARTS)
    named = (entry.partition(":") for entry in entries)
    sized = ((part.strip()[:MAX_ID_LENGTH], tokens.strip()) for part, _, tokens in named)
    return tuple(SizedPart(PromptPart(part), _parse_tokens(t)) for part, t in sized if part)


def parse_last_event_id(req: HttpRequest) -> int | None:
    """Return the id of the last event that the caller of a stream has, if it names one."""
    text = req.header(LAST_EVENT_ID) or ""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_EVENT_ID_DIGITS
    return int(text) if is_number else None


def _parse_tokens(text: str) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_PART_DIGITS
    return int(text) if is_number else 0


def _parse_number(text: str) -> float | None:
    text = text.strip()
    return float(text) if text.isascii() and text.isdigit() else None
