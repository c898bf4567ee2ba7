"""Callers that keep to no limit end no process, and leave ordinary callers their part.

Nothing here depends on the speed of the machine: a process must live, stay within its memory and
its descriptors, and answer one ordinary request while the crowd is still there.
"""

import pytest
from caller_crowd import DESCRIPTORS, KINDS, MEMORY_MB, Crowd, hosts, watch
from test_gateway_process import run_check

MAX_RESIDENT_MB = MEMORY_MB
MAX_DESCRIPTORS = DESCRIPTORS - 64
"""What is left is for the store, other hosts, readiness, metrics and the log."""

FORWARDED = ("requests ahead", "large answers unread", "streams unread", "resets")


async def face_crowd(gateways, size, behave, kept):
    """Return the largest memory and descriptors of a process while the first faces a crowd."""
    async with Crowd(gateways[0]) as crowd:
        await crowd.start(size, behave, kept)
        memory_mb, descriptors = await watch(gateways)
        await gateways[0].wait_until_answered()
        for gateway in gateways:
            assert await gateway.health_status() == 200
    return memory_mb, descriptors


def check_crowd(folder, kind, kept, forwards):
    """Check that the processes stay within their limits while one faces a crowd of a kind."""

    async def check():
        async with hosts(folder, forwards) as gateways:
            return await face_crowd(gateways, *KINDS[kind], kept)

    memory_mb, descriptors = run_check(check)
    print(f"{kind}: {memory_mb:.0f} MB, {descriptors} descriptors")
    assert memory_mb <= MAX_RESIDENT_MB
    assert descriptors <= MAX_DESCRIPTORS


# Guards against callers that end a process by what they make it hold.
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("kind", KINDS)
def test_crowd_leaves_process_within_its_limits(tmp_path, kind, kept):
    check_crowd(tmp_path, kind, kept, forwards=False)


# Guards against answers and streams of a helper that a host reads while its callers don't.
@pytest.mark.parametrize("kind", FORWARDED)
def test_crowd_leaves_cut_off_host_and_its_helper_within_their_limits(tmp_path, kind):
    check_crowd(tmp_path, kind, kept=False, forwards=True)
