"""A caller of the system: asks where to connect, streams drafts, resumes them, makes calls."""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from minttide.ids import Address
from minttide.problems import Ran
from minttide_cli.sse_reader import EventStream, SseEvent, StreamBrokenError
from minttided.http.client import ClientResponse, ExchangeError, HttpClient, NotSentError

MAX_ATTEMPTS = 6
RETRY_S = 0.1
MAX_RETRY_S = 2.0
WHERE_TIMEOUT_S = 2.0
OK = 200


class Where(msgspec.Struct):
    """Where to connect, best first, and for how many seconds to keep that answer."""

    addresses: list[Address]
    keep_s: float


class CallerProblem(msgspec.Struct, frozen=True):
    """A problem as the system told it."""

    type: str
    title: str
    status: int
    ran: Ran
    detail: str
    retry_after_s: float | None = None


class CallerError(Exception):
    """A request ended with `problem`."""

    def __init__(self, problem: CallerProblem):
        super().__init__(f"{problem.title} (ran: {problem.ran.value}): {problem.detail}")
        self.problem = problem


class UnreachableError(Exception):
    """No known host answers."""


class DraftRequest(msgspec.Struct, omit_defaults=True):
    """The body of a draft request."""

    prompt: str
    max_tokens: int
    adapter: str | None = None
    deadline_ms: int | None = None
    stream: bool = True
    resume: str | None = None
    delivered: list[int] = []


class _Open(msgspec.Struct):
    resume: str
    version: str


class _Token(msgspec.Struct):
    token: int
    text: str


class _End(msgspec.Struct):
    tokens: int


@dataclass
class Draft:
    """A draft as far as it was received. Times are in seconds of the loop."""

    tokens: list[int] = field(default_factory=list)
    text: str = ""
    version: str = ""
    whole: bool = False
    connections: int = 0
    asked_s: float = 0.0
    token_times_s: list[float] = field(default_factory=list)

    @property
    def first_token_s(self) -> float:
        """Return the time to the first token."""
        return self.token_times_s[0] - self.asked_s if self.token_times_s else 0.0

    @property
    def longest_gap_s(self) -> float:
        """Return the longest time between two tokens."""
        return max((b - a for a, b in itertools.pairwise(self.token_times_s)), default=0.0)


OnToken = Callable[[str], None]


class Caller:
    """One caller with its token. `entries` are the hosts that it knows of by itself."""

    def __init__(
        self, entries: Sequence[Address], token: str, zone: str = "", idle_s: float = 20.0
    ) -> None:
        self._entries = list(entries)
        self._headers = [("authorization", f"Bearer {token}")] if token else []
        self._zone = zone
        self._idle_s = idle_s
        self._where: Where | None = None
        self._where_until = 0.0

    def use_only(self, address: Address) -> None:
        """Connect to `address` from now on, whatever other answer there would be."""
        self._where = Where([address], 0.0)
        self._where_until = float("inf")

    async def where(self, fresh: bool = False) -> Where:
        """Return where to connect; the answer is kept for as long as it says."""
        now = asyncio.get_running_loop().time()
        if self._where is None or fresh or now >= self._where_until:
            self._where = await self._ask_where()
            self._where_until = now + self._where.keep_s
        return self._where

    async def _ask_where(self) -> Where:
        path = f"/v1/where?zone={self._zone}" if self._zone else "/v1/where"
        known = [*(self._where.addresses if self._where else []), *self._entries]
        reasons = []
        for address in dict.fromkeys(known):
            try:
                reply = await self._request(address, "GET", path, b"", [], WHERE_TIMEOUT_S)
            except (NotSentError, ExchangeError) as exc:
                reasons.append(f"{address}: {exc}")
                continue
            if reply.status == OK:
                return msgspec.json.decode(reply.body, type=Where)
            reasons.append(f"{address}: status {reply.status}")
        raise UnreachableError("; ".join(reasons) or "no address is known")

    async def _request(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes,
        headers: Sequence[tuple[str, str]],
        timeout_s: float,
    ) -> ClientResponse:
        client = HttpClient(address)
        try:
            named = [*self._headers, *headers]
            return await client.request(method, path, body, named, timeout_s, fresh=True)
        finally:
            client.close()

    # Drafts.

    async def draft(
        self, service: str, request: DraftRequest, on_token: OnToken = lambda text: None
    ) -> Draft:
        """Stream a draft, on another host where one breaks off, until it is whole.

        Raises `CallerError` for a final problem and `UnreachableError`.
        """
        draft = Draft(asked_s=asyncio.get_running_loop().time())
        for attempt in range(MAX_ATTEMPTS):
            address = await self._pick(attempt)
            try:
                await self._stream(address, service, request, draft, on_token)
                return draft
            except StreamBrokenError as exc:
                reason = str(exc)
                request.delivered = draft.tokens
            except CallerError as exc:
                if not _is_worth_retrying(exc.problem) or attempt == MAX_ATTEMPTS - 1:
                    raise
                request.delivered = draft.tokens
                await asyncio.sleep(min(exc.problem.retry_after_s or RETRY_S, MAX_RETRY_S))
        raise UnreachableError(f"the draft broke off {MAX_ATTEMPTS} times; last: {reason}")

    async def _pick(self, attempt: int) -> Address:
        where = await self.where(fresh=attempt > 0)
        return where.addresses[attempt % len(where.addresses)]

    async def _stream(
        self,
        address: Address,
        service: str,
        request: DraftRequest,
        draft: Draft,
        on_token: OnToken,
    ) -> None:
        path = f"/v1/services/{service}/draft"
        headers = [*self._headers, ("content-type", "application/json")]
        body = msgspec.json.encode(request)
        async with EventStream(address, path, headers, body, self._idle_s) as stream:
            head = await stream.read_head()
            if head.status != OK:
                raise CallerError(_read_problem(await stream.read_body()))
            draft.connections += 1
            async for event in stream.events():
                self._take(event, request, draft, on_token)
        if not draft.whole:
            raise StreamBrokenError("the stream ended before the answer was whole")

    def _take(
        self, event: SseEvent, request: DraftRequest, draft: Draft, on_token: OnToken
    ) -> None:
        match event.name:
            case "open":
                opened = msgspec.json.decode(event.data, type=_Open)
                request.resume, draft.version = opened.resume, opened.version
            case "token":
                token = msgspec.json.decode(event.data, type=_Token)
                draft.tokens.append(token.token)
                draft.text += token.text
                draft.token_times_s.append(asyncio.get_running_loop().time())
                on_token(token.text)
            case "end":
                ended = msgspec.json.decode(event.data, type=_End)
                draft.whole = ended.tokens == len(draft.tokens)
            case "problem":
                raise CallerError(_read_problem(event.data))

    # Calls of plain services.

    async def call(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        key: str | None = None,
        timeout_s: float = 10.0,
    ) -> ClientResponse:
        """Make one call, once; raises `CallerError`, `UnreachableError` or `ExchangeError`."""
        where = await self.where()
        headers = [("content-type", "application/json")]
        if key is not None:
            headers.append(("idempotency-key", key))
        target = f"/v1/services/{service}/call{path}"
        for address in where.addresses:
            try:
                reply = await self._request(address, method, target, body, headers, timeout_s)
            except NotSentError:
                continue
            if "problem+json" in reply.content_type:
                raise CallerError(_read_problem(reply.body))
            return reply
        raise UnreachableError("no host takes a connection")


def _is_worth_retrying(problem: CallerProblem) -> bool:
    """Return whether the same request may be answered later; it says when to come back."""
    return problem.ran is Ran.NOT_RUN and problem.retry_after_s is not None


def _read_problem(body: bytes) -> CallerProblem:
    try:
        return msgspec.json.decode(body, type=CallerProblem)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return CallerProblem("", "not understood", 0, Ran.UNKNOWN, repr(body[:200]))
