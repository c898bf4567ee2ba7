"""A caller of the router: finds entry hosts, streams and resumes drafts, and makes calls."""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from minttide.decoding import MalformedBytesError, decode_json
from minttide.ids import Address
from minttide.problems import Ran
from minttide_cli.sse_reader import EventStream, SseEvent, StreamInterruptedError
from minttided.http.client import ClientResponse, ExchangeError, HttpClient, NotSentError

MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
ENTRIES_TIMEOUT_S = 2.0
OK = 200


class EntryList(msgspec.Struct):
    """Addresses of entry hosts, best first; valid for `keep_s` seconds."""

    addresses: list[Address]
    keep_s: float


class CallerProblem(msgspec.Struct, frozen=True):
    """A problem as reported by the router."""

    type: str
    title: str
    status: int
    ran: Ran
    detail: str
    retry_after_s: float | None = None


class CallerError(Exception):
    """A request failed with `problem`."""

    def __init__(self, problem: CallerProblem):
        super().__init__(f"{problem.title} (ran: {problem.ran.value}): {problem.detail}")
        self.problem = problem


class UnreachableError(Exception):
    """No known entry host could be reached."""


class DraftRequest(msgspec.Struct, omit_defaults=True):
    """Body of a draft request."""

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
    """The received part of a draft. Times are event loop times in seconds."""

    tokens: list[int] = field(default_factory=list)
    text: str = ""
    version: str = ""
    is_complete: bool = False
    connections: int = 0
    started_s: float = 0.0
    token_times_s: list[float] = field(default_factory=list)

    @property
    def first_token_s(self) -> float:
        """Return the seconds from the request to the first token."""
        return self.token_times_s[0] - self.started_s if self.token_times_s else 0.0

    @property
    def longest_gap_s(self) -> float:
        """Return the longest time between two consecutive tokens, in seconds."""
        return max((b - a for a, b in itertools.pairwise(self.token_times_s)), default=0.0)


OnToken = Callable[[str], None]


class Caller:
    """A caller of the router with one bearer token.

    `entries` are the entry hosts to ask first. `idle_timeout_s` bounds the wait for the next bytes
    of a stream.
    """

    def __init__(
        self, entries: Sequence[Address], token: str, zone: str = "", idle_timeout_s: float = 20.0
    ) -> None:
        self._entries = list(entries)
        self._headers = [("authorization", f"Bearer {token}")] if token else []
        self._zone = zone
        self._idle_timeout_s = idle_timeout_s
        self._entry_list: EntryList | None = None
        self._entries_valid_until_s = 0.0

    def use_only(self, address: Address) -> None:
        """Send all further requests to `address`, without asking for entry hosts."""
        self._entry_list = EntryList([address], 0.0)
        self._entries_valid_until_s = float("inf")

    async def get_entries(self, fresh: bool = False) -> EntryList:
        """Return the entry hosts; the list is cached for its `keep_s` unless `fresh`.

        Raises `UnreachableError`.
        """
        now = asyncio.get_running_loop().time()
        if self._entry_list is None or fresh or now >= self._entries_valid_until_s:
            self._entry_list = await self._fetch_entries()
            self._entries_valid_until_s = now + self._entry_list.keep_s
        return self._entry_list

    async def _fetch_entries(self) -> EntryList:
        path = f"/v1/where?zone={self._zone}" if self._zone else "/v1/where"
        known = [*(self._entry_list.addresses if self._entry_list else []), *self._entries]
        reasons = []
        for address in dict.fromkeys(known):
            try:
                reply = await self._request(address, "GET", path, b"", [], ENTRIES_TIMEOUT_S)
            except (NotSentError, ExchangeError) as exc:
                reasons.append(f"{address}: {exc}")
                continue
            if reply.status != OK:
                reasons.append(f"{address}: status {reply.status}")
                continue
            try:
                return decode_json(reply.body, EntryList)
            except MalformedBytesError as exc:
                reasons.append(f"{address}: malformed list of entries: {exc}")
        raise UnreachableError("; ".join(reasons) or "no entry address is known")

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
            all_headers = [*self._headers, *headers]
            return await client.request(method, path, body, all_headers, timeout_s, fresh=True)
        finally:
            client.close()

    # Drafts.

    async def draft(
        self, service: str, request: DraftRequest, on_token: OnToken = lambda text: None
    ) -> Draft:
        """Stream a draft until it is complete; an interrupted stream is resumed on another host.

        Raises `CallerError` for a problem that is not retried, and `UnreachableError` when no host
        can be reached or `MAX_ATTEMPTS` streams were interrupted.
        """
        draft = Draft(started_s=asyncio.get_running_loop().time())
        for attempt in range(MAX_ATTEMPTS):
            address = await self._pick_entry(attempt)
            try:
                await self._stream(address, service, request, draft, on_token)
                return draft
            except StreamInterruptedError as exc:
                reason = str(exc)
                request.delivered = draft.tokens
            except CallerError as exc:
                if not _is_worth_retrying(exc.problem) or attempt == MAX_ATTEMPTS - 1:
                    raise
                request.delivered = draft.tokens
                await asyncio.sleep(
                    min(exc.problem.retry_after_s or RETRY_DELAY_S, MAX_RETRY_DELAY_S)
                )
        raise UnreachableError(
            f"the draft was interrupted {MAX_ATTEMPTS} times; last error: {reason}"
        )

    async def _pick_entry(self, attempt: int) -> Address:
        entries = await self.get_entries(fresh=attempt > 0)
        return entries.addresses[attempt % len(entries.addresses)]

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
        async with EventStream(address, path, headers, body, self._idle_timeout_s) as stream:
            head = await stream.read_head()
            if head.status != OK:
                raise CallerError(_read_problem(await stream.read_body()))
            draft.connections += 1
            async for event in stream.events():
                try:
                    self._apply_event(event, request, draft, on_token)
                except MalformedBytesError as exc:
                    raise StreamInterruptedError(f"malformed event: {exc}") from exc
        if not draft.is_complete:
            raise StreamInterruptedError("the stream ended before the draft was complete")

    def _apply_event(
        self, event: SseEvent, request: DraftRequest, draft: Draft, on_token: OnToken
    ) -> None:
        match event.name:
            case "open":
                opened = decode_json(event.data, _Open)
                request.resume, draft.version = opened.resume, opened.version
            case "token":
                token = decode_json(event.data, _Token)
                draft.tokens.append(token.token)
                draft.text += token.text
                draft.token_times_s.append(asyncio.get_running_loop().time())
                on_token(token.text)
            case "end":
                ended = decode_json(event.data, _End)
                draft.is_complete = ended.tokens == len(draft.tokens)
            case "problem":
                raise CallerError(_read_problem(event.data))

    # Calls to plain services.

    async def call(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        key: str | None = None,
        timeout_s: float = 10.0,
    ) -> ClientResponse:
        """Make one call without retries after it was sent.

        Raises `CallerError`, `UnreachableError` or `ExchangeError`.
        """
        entries = await self.get_entries()
        headers = [("content-type", "application/json")]
        if key is not None:
            headers.append(("idempotency-key", key))
        target = f"/v1/services/{service}/call{path}"
        for address in entries.addresses:
            try:
                reply = await self._request(address, method, target, body, headers, timeout_s)
            except NotSentError:
                continue
            if "problem+json" in reply.content_type:
                raise CallerError(_read_problem(reply.body))
            return reply
        raise UnreachableError("no entry host accepted a connection")


def _is_worth_retrying(problem: CallerProblem) -> bool:
    """Return whether the request has not run and the problem gives a retry delay."""
    return problem.ran is Ran.NOT_RUN and problem.retry_after_s is not None


def _read_problem(body: bytes) -> CallerProblem:
    try:
        return decode_json(body, CallerProblem)
    except MalformedBytesError:
        return CallerProblem("", "malformed problem", 0, Ran.UNKNOWN, repr(body[:200]))
