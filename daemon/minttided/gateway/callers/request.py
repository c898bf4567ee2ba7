"""A caller's request as the gateway forwards it."""

from collections.abc import Sequence

import msgspec

from minttide.ids import ServiceName, UpstreamId
from minttide.layers.paths import RequestSize
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
"""Headers that concern one connection only."""

MS_PER_S = 1000.0

URGENCY_STEP = 2
"""Steps of urgency between two priorities."""

MOST_URGENCY = 9


class GatewayRequest(msgspec.Struct, frozen=True):
    """One request with all that decides how it is forwarded. Times are in loop seconds.

    `deadline_s` is when the caller stops waiting, `limit_s` when the route's timeout ends.
    """

    req: HttpRequest
    attempt: str
    route: Route
    service: ServiceName
    account: AccountKeys | None
    received_s: float
    deadline_s: float
    limit_s: float

    @property
    def end_s(self) -> float:
        """Return when the request must have its final answer."""
        return min(self.deadline_s, self.limit_s)

    @property
    def priority(self) -> int:
        """Return the rank of the request, 0 first; the account's goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def end_to_end(headers: Sequence[tuple[str, str]]) -> Headers:
    """Return the headers that may be passed on."""
    named = {name.strip().lower() for n, v in headers if n == "connection" for name in v.split(",")}
    return [(n, v) for n, v in headers if n not in HOP_BY_HOP and n not in named]


def upstream_headers(request: GatewayRequest, names: HeaderNames, now_s: float) -> Headers:
    """Return the headers for the upstream, without those that name it."""
    own = {
        "authorization",
        "content-length",
        names.account,
        names.deadline_ms,
        names.expect_instance,
        names.path,
        names.urgency,
    }
    headers = [(n, v) for n, v in end_to_end(request.req.headers) if n not in own]
    left_ms = max(1, int((request.end_s - now_s) * MS_PER_S))
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
    last_id: int | None,
    now_s: float,
) -> Headers:
    """Return the headers for the first engine of a path, after event `last_id` if there is one."""
    headers = [(n, v) for n, v in upstream_headers(request, names, now_s) if n != LAST_EVENT_ID]
    if last_id is not None:
        headers.append((LAST_EVENT_ID, str(last_id)))
    headers.append((names.expect_instance, first))
    headers.append((names.path, path))
    headers.append((names.urgency, str(min(MOST_URGENCY, URGENCY_STEP * request.priority))))
    return headers


def read_work(req: HttpRequest, names: HeaderNames, model: ModelSpec) -> RequestSize:
    """Return the size of a request from its headers, the usual one where they don't say."""
    prompt, answer = model.usual_prompt, model.usual_answer
    numbers = [_number(t) for t in (req.header(names.prompt_tokens) or "").split(",")]
    if numbers and numbers[0] is not None:
        prompt = numbers[0]
    if len(numbers) > 1 and numbers[1] is not None:
        answer = min(answer, numbers[1])
    hint = _number(req.header(names.length_hint) or "")
    if hint is not None:
        answer = hint
    return RequestSize(prompt, max(1.0, answer))


def _number(text: str) -> float | None:
    text = text.strip()
    return float(text) if text.isascii() and text.isdigit() else None
