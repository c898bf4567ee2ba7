"""Supervisors: start and stop order, restart policies, restart limits."""

import asyncio

import pytest

from minttide_fakes.virtual import run_virtual
from minttided.supervisor import Child, Restart, Supervisor, SupervisorContext, TooManyRestartsError


class ScriptedChild:
    """A child with a scripted outcome for each run; after the script it keeps running."""

    def __init__(self, name, events, script=()):
        self.name, self.events, self.script, self.runs = name, events, list(script), 0

    async def run(self, ready):
        self.runs += 1
        outcome = self.script.pop(0) if self.script else "stay"
        if outcome == "fail before ready":
            raise OSError("can't start")
        self.events.append(f"{self.name} up")
        ready()
        try:
            await asyncio.sleep(1.0)
            if outcome == "fail":
                raise ValueError("broken")
            if outcome == "stay":
                await asyncio.Event().wait()
        finally:
            self.events.append(f"{self.name} down")


def test_children_start_in_order_and_stop_in_reverse_order():
    async def scenario():
        events = []
        parts = [ScriptedChild(name, events) for name in ("log", "peers", "callers")]
        async with SupervisorContext(Supervisor("root", [Child(p.name, p.run) for p in parts])):
            events.append("open")
        return events

    assert run_virtual(scenario()) == [
        *("log up", "peers up", "callers up", "open"),
        *("callers down", "peers down", "log down"),
    ]


@pytest.mark.parametrize(
    ("restart", "script", "runs"),
    [
        (Restart.PERMANENT, ["end", "fail"], 3),
        (Restart.TRANSIENT, ["fail", "fail", "end"], 3),
        (Restart.TRANSIENT, ["end"], 1),
        (Restart.TEMPORARY, ["fail"], 1),
        (Restart.PERMANENT, ["fail before ready", "stay"], 2),
    ],
)
def test_restart_policy_determines_the_number_of_runs(restart, script, runs):
    async def scenario():
        part = ScriptedChild("part", [], script)
        other = ScriptedChild("other", [])
        supervisor = Supervisor(
            "root", [Child("part", part.run, restart), Child("other", other.run)]
        )
        async with SupervisorContext(supervisor):
            await asyncio.sleep(60.0)
        assert other.runs == 1
        return part.runs

    assert run_virtual(scenario()) == runs


def test_too_many_restarts_fail_the_supervisor_and_its_parent():
    async def scenario():
        events = []
        part = ScriptedChild("part", events, ["fail"] * 100)
        inner = Supervisor("inner", [Child("part", part.run)], max_restarts=2)
        outer = Supervisor("outer", [Child("inner", inner.run)], max_restarts=1)
        async with SupervisorContext(outer) as supervised:
            with pytest.raises(TooManyRestartsError, match="outer"):
                await supervised.wait()
        return part.runs

    assert run_virtual(scenario()) == 6
