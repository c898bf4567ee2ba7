"""HTTP server for the stand-in platform log and host list."""

import re

from minttide.ids import Address, Offset, StreamName
from minttide.interfaces import HostList, LogUnavailableError, LogUncertainError, PlatformLog
from minttide_fakes.routes import (
    ANY_PORT,
    Answer,
    RoutedServer,
    aborted_response,
    error_response,
    json_response,
)
from minttided.http.messages import HttpRequest

RECORDS_PATH = re.compile(r"/v1/streams/([A-Za-z0-9._-]{1,128})/records")
MAX_WAIT_S = 60.0
MAX_PAGE_RECORDS = 1_000


class LogServer(RoutedServer):
    """Serves a platform log and, if given, a host list."""

    def __init__(
        self, log: PlatformLog, hosts: HostList | None = None, address: Address = ANY_PORT
    ) -> None:
        self._log = log
        self._hosts = hosts
        super().__init__({("GET", "/v1/hosts"): self._list_hosts}, address)

    async def _handle(self, req: HttpRequest) -> Answer:
        match = RECORDS_PATH.fullmatch(req.path)
        if match is None:
            return await super()._handle(req)
        stream = StreamName(match.group(1))
        try:
            if req.method == "POST":
                return json_response({"offset": await self._log.append(stream, req.body)})
            return await self._read(stream, req)
        except LogUnavailableError as exc:
            return error_response(503, str(exc))
        except LogUncertainError:
            return aborted_response()
        except ValueError as exc:
            return error_response(400, str(exc))

    async def _read(self, stream: StreamName, req: HttpRequest) -> Answer:
        start = Offset(int(req.parameter("start") or 0))
        limit = min(int(req.parameter("limit") or MAX_PAGE_RECORDS), MAX_PAGE_RECORDS)
        wait_s = min(int(req.parameter("wait_ms") or 0) / 1000, MAX_WAIT_S)
        return json_response(await self._log.read(stream, start, limit, wait_s))

    async def _list_hosts(self, req: HttpRequest) -> Answer:
        try:
            return json_response(list(await self._hosts.list()) if self._hosts else [])
        except OSError as exc:
            return error_response(503, str(exc))
