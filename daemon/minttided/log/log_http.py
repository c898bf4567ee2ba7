"""An HTTP client of the platform log."""

import msgspec

from minttide.decoding import MalformedBytesError, json_decoder
from minttide.ids import Address, Offset, StreamName
from minttide.interfaces import LogPage, LogUnavailableError, LogUncertainError
from minttided.http.client import ClientResponse, ExchangeError, HttpClient, NotSentError

APPEND_TIMEOUT_S = 5.0
READ_TIMEOUT_MARGIN_S = 4.0
"""Time that a read may take beyond its long-poll wait."""

MAX_PAGE_BYTES = 32 * 1024 * 1024

_OK = 200
_UNAVAILABLE = 503
_HEADERS = (("content-type", "application/octet-stream"),)


class _Appended(msgspec.Struct, frozen=True):
    offset: Offset


_appended_decoder = json_decoder(_Appended)
_page_decoder = json_decoder(LogPage)


class HttpPlatformLog:
    """Implements `PlatformLog`. A context manager that owns its connections."""

    def __init__(self, address: Address):
        self._client = HttpClient(address, MAX_PAGE_BYTES)

    async def __aenter__(self) -> "HttpPlatformLog":
        return self

    async def __aexit__(self, *_: object) -> None:
        self._client.close()

    async def append(self, stream: StreamName, payload: bytes) -> Offset:
        """Append one record and return its offset.

        Raises `LogUnavailableError` if it was not appended, `LogUncertainError` if that is unknown.
        """
        try:
            response = await self._client.request(
                "POST",
                f"/v1/streams/{stream}/records",
                payload,
                _HEADERS,
                APPEND_TIMEOUT_S,
                fresh=True,
            )
        except NotSentError as exc:
            raise LogUnavailableError(str(exc)) from exc
        except ExchangeError as exc:
            raise LogUncertainError(str(exc)) from exc
        _check_append_status(response)
        try:
            return _appended_decoder.decode(response.body).offset
        except MalformedBytesError as exc:
            raise LogUncertainError(f"invalid response of the platform log: {exc}") from exc

    async def read(
        self, stream: StreamName, start: Offset, limit: int, wait_s: float = 0.0
    ) -> LogPage:
        """Read up to `limit` records from `start`; wait up to `wait_s` seconds for the first.

        Raises `LogUnavailableError`.
        """
        wait_ms = int(wait_s * 1000)
        path = f"/v1/streams/{stream}/records?start={start}&limit={limit}&wait_ms={wait_ms}"
        try:
            response = await self._client.request(
                "GET", path, timeout_s=wait_s + READ_TIMEOUT_MARGIN_S
            )
        except (NotSentError, ExchangeError) as exc:
            raise LogUnavailableError(str(exc)) from exc
        if response.status != _OK:
            raise LogUnavailableError(f"the platform log responded with status {response.status}")
        try:
            return _page_decoder.decode(response.body)
        except MalformedBytesError as exc:
            raise LogUnavailableError(f"invalid response of the platform log: {exc}") from exc


def _check_append_status(response: ClientResponse) -> None:
    """Raise the error of a failed append.

    It is `LogUnavailableError` if the append was rejected, and `LogUncertainError` if it may have
    taken effect.
    """
    if response.status == _OK:
        return
    reason = f"the platform log responded with status {response.status}"
    if response.status == _UNAVAILABLE or 400 <= response.status < 500:
        raise LogUnavailableError(reason)
    raise LogUncertainError(reason)
