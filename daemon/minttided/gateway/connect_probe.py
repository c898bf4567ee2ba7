"""Short probes of upstreams, by connecting to them or by a call of another kind."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from minttide.routing.routes import UpstreamEntry
from minttide.routing.sources import ProcessEndedError, SourceError
from minttided.gateway.state import GatewayState, now_s

PROBE_TIMEOUT_S = 0.05

HELD_UP_MARGIN_S = 0.01
"""How late a probe's timeout fires at most while this process isn't held up."""

T = TypeVar("T")


def _find_no_repeat() -> float | None:
    """Return None: the upstream is the cause of a failure."""
    return None


async def probe(
    state: GatewayState,
    call: Callable[[UpstreamEntry, float], Awaitable[T]],
    entry: UpstreamEntry,
    timeout_s: float = PROBE_TIMEOUT_S,
    find_repeat_s: Callable[[], float | None] = _find_no_repeat,
) -> T:
    """Return the result of `call` with a timeout, and record whether the upstream can be reached.

    A call that failed is repeated once with the timeout that `find_repeat_s` returns, if any, and
    while this process was held up: the timeout may then have passed although the upstream responds.
    One to a process that has ended isn't repeated.

    Raises `SourceError`, as `ProcessEndedError` if the process has ended.
    """
    try:
        result = await _call_twice(call, entry, timeout_s, find_repeat_s)
    except SourceError as exc:
        state.record_reach(entry.id, exc.reached)
        raise
    state.record_reach(entry.id, True)
    return result


async def probe_connection(
    state: GatewayState, entry: UpstreamEntry, timeout_s: float = PROBE_TIMEOUT_S
) -> None:
    """Connect to an upstream, close the connection, and record whether it can be reached.

    Raises `SourceError` if it can't, as `ProcessEndedError` if nothing listens at its address.
    """
    await probe(state, state.engines.check_reachable, entry, timeout_s)


async def _call_twice(
    call: Callable[[UpstreamEntry, float], Awaitable[T]],
    entry: UpstreamEntry,
    timeout_s: float,
    find_repeat_s: Callable[[], float | None],
) -> T:
    started_s = now_s()
    try:
        return await call(entry, timeout_s)
    except ProcessEndedError:
        raise
    except SourceError:
        repeat_s = find_repeat_s()
        if repeat_s is None and now_s() - started_s > timeout_s + HELD_UP_MARGIN_S:
            repeat_s = timeout_s
        if repeat_s is None:
            raise
    return await call(entry, repeat_s)
