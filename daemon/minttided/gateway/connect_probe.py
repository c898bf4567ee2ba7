"""Short probes of upstreams, by connecting to them or by a call of another kind."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from minttide.routing.routes import UpstreamEntry
from minttide.routing.sources import InconclusiveError, ProcessEndedError, SourceError
from minttided.gateway.state import GatewayState, now_s

PROBE_TIMEOUT_S = 0.05

CONFIRM_TIMEOUT_S = 0.3
"""Time for a last probe: of a host whose link may have been busy, or that lost a packet."""

WITNESSES = 3
"""Upstreams that are connected to when a lone probe of another one isn't answered."""

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

    Raises `SourceError`, as `InconclusiveError` if it may be.
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
                if repeat_timeout_s is not None:
                    result = await call(entry, repeat_timeout_s)
                elif timeout_s > PROBE_TIMEOUT_S or state.probe_evidence.has_answer_since(
                    started_s
                ):
                    raise
                else:
                    result = await _repeat_beside_others(state, call, entry)
    except ProcessEndedError:
        state.probe_evidence.record_answer(now_s())
        raise
    state.probe_evidence.record_answer(now_s())
    return result


async def _repeat_beside_others(
    state: GatewayState, call: Callable[[UpstreamEntry, float], Awaitable[T]], entry: UpstreamEntry
) -> T:
    """Repeat a lone probe that failed, unless another upstream can be reached meanwhile.

    Raises `SourceError`, as `InconclusiveError` if no other upstream can be reached either.
    """
    others = _choose_others(state, entry)
    repeat = asyncio.ensure_future(call(entry, CONFIRM_TIMEOUT_S))
    witness = asyncio.ensure_future(_find_reachable(state, others))
    try:
        await asyncio.wait({repeat, witness}, return_when=asyncio.FIRST_COMPLETED)
        if not repeat.done() and not await witness:
            await asyncio.wait({repeat})
        if not repeat.done():
            raise SourceError(f"upstream {entry.id} doesn't answer, and others do")
        if others and repeat.exception() is not None and not await witness:
            raise InconclusiveError(str(repeat.exception())) from repeat.exception()
        return repeat.result()
    finally:
        for task in (repeat, witness):
            task.cancel()
        await asyncio.gather(repeat, witness, return_exceptions=True)


def _choose_others(state: GatewayState, entry: UpstreamEntry) -> list[UpstreamEntry]:
    """Return some upstreams that seem sound, to see whether this host reaches any."""
    suspected = state.suspects.suspected()
    sound = [u for u in state.upstreams.values() if u.id != entry.id and u.id not in suspected]
    return state.rng.sample(sound, min(WITNESSES, len(sound)))


async def _find_reachable(state: GatewayState, entries: Sequence[UpstreamEntry]) -> bool:
    """Return whether one of `entries` can be reached, and record that."""

    async def reaches(entry: UpstreamEntry) -> bool:
        try:
            await state.engines.check_reachable(entry, CONFIRM_TIMEOUT_S)
        except SourceError as exc:
            return isinstance(exc, ProcessEndedError)
        return True

    tasks = [asyncio.ensure_future(reaches(entry)) for entry in entries]
    try:
        for task in asyncio.as_completed(tasks):
            if await task:
                state.probe_evidence.record_answer(now_s())
                return True
        return False
    finally:
        for pending in tasks:
            pending.cancel()


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
