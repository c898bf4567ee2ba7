"""The fakes behave as other tests assume."""

import asyncio

import pytest

from minttide.config.service import AcceleratorKind, Engine, Model, PowerLevel
from minttide.ids import HostId, Offset, StreamName
from minttide.interfaces import EngineError, LogUnavailableError, LogUncertainError
from minttide.interfaces import StaleFencingError as Stale
from minttide.steps import Order, Step, StepBatch, StepError
from minttide_fakes.engine import FakeEngine, ReplyFault
from minttide_fakes.kv import Fabric
from minttide_fakes.memory import AppendFault, MemoryLog
from minttide_fakes.model import generate, next_token
from minttide_fakes.virtual import run_virtual

KIND = AcceleratorKind("a", 1000, 10.0, 1.0, 1.0, [PowerLevel(100, 0.5), PowerLevel(200, 1.0)])
MODEL = Model(4, 10.0, 1.0, 1.0)
PROMPT = list(b"two ensembles")
STREAM = StreamName("config")


@pytest.mark.parametrize(
    ("fault", "raised", "at_once", "later"),
    [
        (None, None, 1, 1),
        (AppendFault.REFUSED, LogUnavailableError, 0, 0),
        (AppendFault.ANSWER_LOST, LogUncertainError, 1, 1),
        (AppendFault.REQUEST_LOST, LogUncertainError, 0, 0),
        (AppendFault.LANDS_LATER, LogUncertainError, 0, 1),
        (AppendFault.REPEATED, None, 2, 2),
    ],
)
def test_append_faults_raise_and_append_as_specified(fault, raised, at_once, later):
    async def run():
        log = MemoryLog()
        if fault:
            log.faults.inject(fault, STREAM, delay_s=0.01)
        error_type = None
        try:
            await log.append(STREAM, b"x")
        except (LogUnavailableError, LogUncertainError) as exc:
            error_type = type(exc)
        counts = [len(log.records(STREAM))]
        await asyncio.sleep(0.03)
        return error_type, [*counts, len(log.records(STREAM))]

    assert asyncio.run(run()) == (raised, [at_once, later])


def test_cuts_and_outages_fail_pending_reads_and_old_records_expire():
    async def run():
        log = MemoryLog(keep_records=2)
        host = log.view(HostId("h"))
        for payload in (b"0", b"1", b"2"):
            await host.append(STREAM, payload)
        page = await host.read(STREAM, Offset(0), 10)
        assert (page.first, page.end, [r.payload for r in page.records]) == (1, 3, [b"1", b"2"])
        for fault in ("cut", "down"):
            reading = asyncio.create_task(host.read(STREAM, Offset(3), 10, wait_s=5))
            await asyncio.sleep(0.01)
            setattr(host if fault == "cut" else log, fault, True)
            with pytest.raises(LogUnavailableError):
                await asyncio.wait_for(reading, 1)
            host.cut = False

    asyncio.run(run())


def make_chain(count=2, **options):
    fabric = Fabric()
    engines = []
    for index in range(count):
        spec = Engine(f"e{index}", "127.0.0.1:1", "z", "a", **options)
        engine = FakeEngine(spec, KIND, {"draft": MODEL}, fabric)
        size = MODEL.layers // count
        engine.hold("draft", "v1", index * size, (index + 1) * size, 200)
        engines.append(engine)
    return engines


async def run_token(engines, tokens, prefill, attempt=1, kv=None, request="r"):
    """Run one token through all stages and return the last reply."""
    handle, source, reply = "", None, None
    for stage, engine in enumerate(engines):
        held = engine.stage.held
        sent = list(tokens) if prefill else [tokens[-1]]
        step = Step(
            request, attempt, len(tokens), stage, "draft", "v1", held[2], held[3],
            stage == len(engines) - 1, prefill, sent if stage == 0 else [], handle, source,
            kv_handle=kv[stage] if kv else None,
        )  # fmt: skip
        replies = (await engine.run_steps(StepBatch([step]))).replies
        reply = replies[0]
        if reply.error:
            return reply
        handle, source = reply.handle, engine.engine.id
    return reply


def import_steps(handles, tokens):
    return [
        Step("r", 2, len(tokens), i, "draft", "v1", i * 2, i * 2 + 2, i == 1, True, kv_handle=h)
        for i, h in enumerate(handles)
    ]


def test_a_chain_generates_the_tokens_of_the_model_and_cancel_frees_all_state():
    async def run():
        engines = make_chain()
        tokens = list(PROMPT)
        for index in range(5):
            tokens.append((await run_token(engines, tokens, prefill=index == 0)).token)
        handles = [await engine.export_kv("r") for engine in engines]
        others = make_chain()
        for engine, other in zip(engines, others, strict=True):
            other.stage._fabric = engine.stage._fabric
        new = [
            e.stage.new_tokens(s)
            for e, s in zip(others, import_steps(handles, tokens), strict=True)
        ]
        tokens.append((await run_token(others, tokens, True, attempt=2, kv=handles)).token)
        for engine in engines:
            await engine.cancel(["r"])
        assert [engine.retained_items for engine in engines] == [0, 0]
        late_reply = await run_token(engines, tokens, prefill=True)
        assert new == [1, 1]
        return late_reply.error, tokens[len(PROMPT) :], {e.stage.layers_run["r"] for e in engines}

    error, output, layers = asyncio.run(run())
    assert error is StepError.CANCELLED
    assert output == generate("draft", "v1", None, PROMPT, 6, MODEL.layers)
    assert layers == {5 * 2}


def test_tokens_depend_on_every_layer_and_input():
    tokens = [next_token("s", "v", None, PROMPT, layers) for layers in range(1, 40)]
    assert len(set(tokens)) > 10
    assert next_token("s", "v", "x", PROMPT, 32) != next_token("s", "v", None, PROMPT, 31)


@pytest.mark.parametrize(
    ("fault", "counts"),
    [
        (ReplyFault.LOST, [0, 1]),
        (ReplyFault.DOUBLED, [2, 1]),
        (ReplyFault.CROSSED, [0, 2]),
        (ReplyFault.BROKEN, [None, 1]),
    ],
)
def test_reply_faults_give_replies_as_specified(fault, counts):
    async def run():
        (engine,) = make_chain(1)
        engine.inject_fault(fault)
        reply_counts = []
        for request in ("r", "s"):
            step = Step(request, 1, 1, 0, "draft", "v1", 0, 4, True, True, [1])
            try:
                reply_counts.append(len((await engine.run_steps(StepBatch([step]))).replies))
            except EngineError:
                reply_counts.append(None)
        return reply_counts

    assert asyncio.run(run()) == counts


def test_kv_memory_is_limited_and_idle_caches_are_evicted():
    async def run():
        (engine,) = make_chain(1)
        capacity_tokens = int(engine.allocation.kv_free_tokens)
        tokens = [1] * (capacity_tokens // 2 + 1)
        replies = [await run_token([engine], tokens, True, request=name) for name in "ab"]
        await asyncio.sleep(31)
        replies.append(await run_token([engine], tokens, True, request="b"))
        return [reply.error for reply in replies], engine.stage.streams, engine.stage.kv_tokens

    errors, streams, kv_tokens = run_virtual(run())
    assert errors == [None, StepError.NO_MEMORY, None]
    assert (streams, kv_tokens) == (1, 245_760 // 2 + 1)


def test_a_crash_during_a_step_loses_all_state_across_a_restart():
    async def run():
        engines = make_chain()
        engines[1].crash(after_steps=1)
        await run_token(engines, PROMPT, True)
        with pytest.raises(EngineError):
            await run_token(engines, [*PROMPT, 1], False)
        assert engines[1].retained_items == 0
        engines[1].restart()
        state = await engines[1].read_state()
        return state.service, state.fencing, state.watts

    assert asyncio.run(run()) == ("", -1, 100)


@pytest.mark.parametrize(("checks", "expected"), [(True, 100), (False, 200)])
def test_a_stale_order_is_applied_only_by_engines_without_fencing(checks, expected):
    async def run():
        (engine,) = make_chain(1, checks_fencing=checks)
        await engine.order(Order(Offset(5), "draft", "v1", 0, 4, 100))
        try:
            await engine.order(Order(Offset(4), "draft", "v1", 0, 4, 200))
        except Stale:
            assert checks
        return engine.watts

    assert asyncio.run(run()) == expected
