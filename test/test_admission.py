"""Places for streams, shared among accounts."""

import asyncio
from types import SimpleNamespace

import pytest

from minttide.config.service import Account
from minttide.ids import AccountId, RequestId, ServiceName
from minttide.policy.limits import Ticket
from minttide_fakes.virtual import run_virtual
from minttided.drafts.admission import Admission

DRAFTS = ServiceName("drafts")
PLACES = 20
LATEST_S = 1_000.0
LARGE, SMALL = (Account(AccountId(n), "", max_streams=100) for n in ("large", "small"))


class Places:
    """Room for a fixed number of streams."""

    admission = None

    def has_room(self, service):
        return self.admission.open_streams < PLACES

    def tokens_per_s(self, service):
        return 1_000.0

    def streams(self, service):
        return PLACES


async def ask(admission, account, number):
    ticket = Ticket(RequestId(f"{account.name}-{number}"), account.name, 1.0, LATEST_S)
    return await admission.enter(DRAFTS, account, ticket)


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
