"""Places for streams, shared among accounts."""

import asyncio
from types import SimpleNamespace

import pytest

from minttide.config.service import Account
from minttide.ids import AccountId, RequestId, ServiceName
from minttide.policy.limits import Ticket
from minttide.problems import Ran, RequestError
from minttide_fakes.virtual import run_virtual
from minttided.drafts.admission import Admission

DRAFTS = ServiceName("drafts")
PLACES = 20
LATEST_S = 1_000.0
LARGE, SMALL = (Account(AccountId(n), "", max_streams=1_000) for n in ("large", "small"))


class Places:
    """Room for a fixed number of streams."""

    admission = None

    def has_capacity(self, service):
        return self.admission.open_streams < PLACES

    def tokens_per_s(self, service):
        return 1_000.0

    def stream_limit(self, service):
        return PLACES


async def ask(admission, account, number):
    ticket = Ticket(RequestId(f"{account.name}-{number}"), account.name, 1.0, LATEST_S)
    return await admission.acquire(DRAFTS, account, ticket)


@pytest.mark.parametrize("asked", [PLACES, 10 * PLACES])
def test_a_small_account_need_not_wait_for_a_large_one_to_end(asked):
    async def scenario():
        bounds = SimpleNamespace(max_streams=1_000, max_queue=1_000)
        places = Places()
        admission = Admission(
            SimpleNamespace(cfg=SimpleNamespace(bounds=bounds), members=None), places
        )
        places.admission = admission
        async with admission:
            held = [asyncio.create_task(ask(admission, SMALL, 0))]
            await asyncio.sleep(0)
            held += [asyncio.create_task(ask(admission, LARGE, i)) for i in range(asked)]
            await asyncio.sleep(1)
            large = sum(task.done() for task in held[1:])
            async with asyncio.timeout(1):
                await ask(admission, SMALL, 1)
            for task in held:
                task.cancel()
            return large

    assert run_virtual(scenario()) >= PLACES // 2


DRAFT_TOKENS = 40.0
DRAFT_S = DRAFT_TOKENS * PLACES / 1_000.0
"""How long a draft holds its place at the rated output."""


@pytest.mark.parametrize(
    ("latest_s", "served"),
    [(0.9 * DRAFT_S, PLACES), (1.1 * DRAFT_S, 2 * PLACES), (2.2 * DRAFT_S, 3 * PLACES)],
)
def test_in_a_burst_what_cant_start_in_time_is_refused_as_it_comes(latest_s, served):
    """Replays many drafts at once: who gets no place in time is told so at once, not later.

    The baseline, which knew only the rate at which drafts were taken, held most of them to the end.
    """

    async def one(admission, number, refusals):
        began_s = asyncio.get_running_loop().time()
        ticket = Ticket(RequestId(str(number)), LARGE.name, DRAFT_TOKENS, began_s + latest_s)
        try:
            slot = await admission.acquire(DRAFTS, LARGE, ticket)
        except RequestError as exc:
            waited_s = asyncio.get_running_loop().time() - began_s
            refusals.append((waited_s, exc.problem))
            return
        await asyncio.sleep(DRAFT_S)
        slot.release(int(DRAFT_TOKENS))

    async def scenario():
        bounds = SimpleNamespace(max_streams=1_000, max_queue=1_000)
        places = Places()
        admission = Admission(
            SimpleNamespace(cfg=SimpleNamespace(bounds=bounds), members=None), places
        )
        places.admission = admission
        refusals = []
        async with admission:
            await asyncio.gather(*(one(admission, i, refusals) for i in range(100)))
        return refusals

    refusals = run_virtual(scenario())
    assert 100 - len(refusals) == pytest.approx(served, abs=0.2 * PLACES)
    assert max(waited for waited, _ in refusals) == 0.0
    problems = [p for _, p in refusals]
    assert {(p.status, p.ran) for p in problems} == {(503, Ran.NOT_RUN)}
    times = sorted(p.retry_after_s for p in problems)
    assert times[-1] > 1.5 * times[0] > 0
    assert len(set(times)) == len(times)
