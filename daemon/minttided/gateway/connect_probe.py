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


async def probe(
    call: Callable[[UpstreamEntry, float], Awaitable[T]],
    entry: UpstreamEntry,
    timeout_s: float = PROBE_TIMEOUT_S,
) -> T:
    """Return the result of a probe; repeat one that failed while this process was held up.

    Its timeout may then have passed although the upstream responds. Raises `SourceError`.
    """
    started_s = now_s()
    try:
        return await call(entry, timeout_s)
    except ProcessEndedError:
        raise
    except SourceError:
        if now_s() - started_s <= timeout_s + HELD_UP_MARGIN_S:
            raise
    return await call(entry, timeout_s)


async def probe_connection(
    state: GatewayState, entry: UpstreamEntry, timeout_s: float = PROBE_TIMEOUT_S
) -> None:
    """Connect to an upstream, close the connection, and record whether it can be reached.

    Raises `SourceError` if it can't, as `ProcessEndedError` if nothing listens at its address.
    """
    try:
        await probe(state.engines.check_reachable, entry, timeout_s)
    except SourceError as exc:
        state.record_reach(entry.id, exc.reached)
        raise
    state.record_reach(entry.id, True)
