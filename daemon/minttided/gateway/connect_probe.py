"""Short probes of upstreams, by connecting to them or by a call of another kind."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from minttide.routing.routes import UpstreamEntry
from minttide.routing.sources import ProcessEndedError, SourceError
from minttided.gateway.state import GatewayState, now_s

PROBE_TIMEOUT_S = 0.05

CONFIRM_TIMEOUT_S = 0.3
"""Time for a last probe: of a host whose link may have been busy, or that lost a packet."""

HELD_UP_MARGIN_S = 0.01
"""How late a probe's timeout fires at most while this process isn't held up."""

T = TypeVar("T")


async def probe(
    state: GatewayState,
    call: Callable[[UpstreamEntry, float], Awaitable[T]],
    entry: UpstreamEntry,
    timeout_s: float = PROBE_TIMEOUT_S,
) -> T:
    """Return the result of a probe; repeat one whose failure may be this host's own.

    Raises `SourceError`.
    """
    started_s = now_s()
    try:
        with state.probe_evidence.probing():
            try:
                result = await call(entry, timeout_s)
            except ProcessEndedError:
                raise
            except SourceError:
                repeat_timeout_s = _repeat_timeout_s(state, started_s, timeout_s)
                if repeat_timeout_s is None:
                    raise
                result = await call(entry, repeat_timeout_s)
    except ProcessEndedError:
        state.probe_evidence.record_answer(now_s())
        raise
    state.probe_evidence.record_answer(now_s())
    return result


def _repeat_timeout_s(state: GatewayState, started_s: float, timeout_s: float) -> float | None:
    """Return the timeout for repeating a failed probe, `None` if the upstream is the cause.

    This process may have been held up, so that the timeout passed although the upstream responds.
    If several upstreams were probed and none has answered, not even by refusing, this host's link
    may have been busy.
    """
    if timeout_s <= PROBE_TIMEOUT_S and state.probe_evidence.is_inconclusive(started_s):
        return CONFIRM_TIMEOUT_S
    is_held_up = now_s() - started_s > timeout_s + HELD_UP_MARGIN_S
    return timeout_s if is_held_up else None


async def probe_connection(
    state: GatewayState, entry: UpstreamEntry, timeout_s: float = PROBE_TIMEOUT_S
) -> None:
    """Connect to an upstream, close the connection, and record whether it can be reached.

    Raises `SourceError` if it can't, as `ProcessEndedError` if nothing listens at its address.
    """
    try:
        await probe(state, state.engines.check_reachable, entry, timeout_s)
    except SourceError as exc:
        state.record_reach(entry.id, exc.reached)
        raise
    state.record_reach(entry.id, True)
