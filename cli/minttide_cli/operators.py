"""Requests to the operator addresses of daemons."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any

from minttide.decoding import MalformedBytesError, decode_any_json
from minttide.ids import Address, HostId, Offset
from minttided.http.client import ExchangeError, HttpClient, NotSentError

REQUEST_TIMEOUT_S = 3.0
OK_STATUSES = (200, 202, 204)


class OperatorsError(Exception):
    """A request to a daemon failed, or its response is invalid."""


async def ask_daemon(address: Address, method: str, path: str) -> Any:
    """Make one request and return the decoded JSON response. Raises `OperatorsError`."""
    client = HttpClient(address)
    try:
        reply = await client.request(method, path, timeout_s=REQUEST_TIMEOUT_S, fresh=True)
    except (NotSentError, ExchangeError) as exc:
        raise OperatorsError(f"{address}: {exc}") from exc
    finally:
        client.close()
    if reply.status not in OK_STATUSES:
        text = reply.body[:200].decode("utf-8", "replace")
        raise OperatorsError(f"{address}: status {reply.status}: {text}")
    try:
        return decode_any_json(reply.body) if reply.body else None
    except MalformedBytesError as exc:
        raise OperatorsError(f"{address}: invalid JSON in the response: {exc}") from exc


async def read_statuses(addresses: Sequence[Address]) -> list[dict[str, Any]]:
    """Return the status of every daemon that responds. Raises `OperatorsError` if none does."""
    results = await asyncio.gather(
        *(ask_daemon(address, "GET", "/v1/status") for address in addresses),
        return_exceptions=True,
    )
    statuses = [result for result in results if isinstance(result, dict)]
    if not statuses:
        raise OperatorsError("; ".join(str(result) for result in results))
    return statuses


async def read_applied(addresses: Sequence[Address]) -> Mapping[HostId, Offset]:
    """Return the applied configuration offset of every live host in these daemons' member lists."""
    applied: dict[HostId, Offset] = {}
    for status in await read_statuses(addresses):
        for member in status["members"]:
            if not member.get("suspect") and not member.get("down"):
                host = HostId(member["host"])
                applied[host] = Offset(max(applied.get(host, -1), member["applied"]))
    return applied
