"""An HTTP client of the platform's host list."""

from collections.abc import Sequence

from minttide.decoding import MalformedBytesError, json_decoder
from minttide.ids import Address
from minttide.interfaces import ListedHost
from minttided.http.client import ExchangeError, HttpClient, NotSentError

TIMEOUT_S = 5.0

_OK = 200
_hosts_decoder = json_decoder(list[ListedHost])


class HttpHostList:
    """Implements `HostList`. A context manager that owns its connections."""

    def __init__(self, address: Address):
        self._client = HttpClient(address)

    async def __aenter__(self) -> "HttpHostList":
        return self

    async def __aexit__(self, *_: object) -> None:
        self._client.close()

    async def list(self) -> Sequence[ListedHost]:
        """Return the complete list. Raises `OSError` if it can't be read."""
        try:
            response = await self._client.request("GET", "/v1/hosts", timeout_s=TIMEOUT_S)
        except (NotSentError, ExchangeError) as exc:
            raise OSError(str(exc)) from exc
        if response.status != _OK:
            raise OSError(f"the host list responded with status {response.status}")
        try:
            return _hosts_decoder.decode(response.body)
        except MalformedBytesError as exc:
            raise OSError(f"invalid host list: {exc}") from exc
