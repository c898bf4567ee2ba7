"""Faults of the random schedules, each begun on a running schedule."""

import asyncio

from schedule_site import EXTRA, STREAMS, model_file

from minttide.config.service import (
    Call,
    PlainService,
)
from minttide.ids import (
    Address,
)
from minttide_fakes.faults import AppendFault
from minttide_fakes.plain import CallFault


def for_a_while(begin, end):
    async def fault(run):
        undo = begin(run)

        async def restore():
            await asyncio.sleep(run.rng.choice((0.5, 2.0, 8.0)))
            end(run, undo)

        run.spawn(restore())

    return fault


def set_down(run):
    run.log.down = True


def set_slow(run):
    run.log.delay_s = run.rng.choice((0.3, 1.5))


def cut_log(run):
    number = run.pick()
    run.views[number].cut = True
    return number


def silence(run):
    address = Address(f"h{run.pick()}:1")
    run.net.pause(address)
    return address


def delay_orders(run):
    number = run.pick()
    run.clients[number].late_s = run.rng.choice((1.0, 9.0))
    return number


def cut_engine(run):
    engine = run.rng.choice(sorted(run.site.engines))
    for clients in run.clients.values():
        clients.cut.add(engine)
    return engine


def join_engine(run, engine):
    for clients in run.clients.values():
        clients.cut.discard(engine)


async def part_peers(run):
    run.net.cut(Address(f"h{run.pick()}:1"), Address(f"h{run.pick()}:1"))


async def spoil_appends(run):
    fault = run.rng.choice(list(AppendFault))
    source = run.rng.choice([run.log.faults, run.views[run.pick()].faults])
    source.inject(fault, times=run.rng.choice((1, 3, 6)), delay_s=run.rng.choice((0.2, 4.0)))


async def repeat_old_record(run):
    stream = run.rng.choice(STREAMS)
    records = run.log.records(stream)
    if records:
        run.log.put(stream, run.rng.choice(records).payload)


async def replace_host(run):
    run.spawn(run.crash(run.pick()))


async def trouble_upstream(run):
    upstream = run.rng.choice(sorted(run.site.upstreams))
    run.site.upstreams[upstream].inject_fault(run.rng.choice(list(CallFault)), 2)


async def slow_upstreams(run):
    for upstream in run.site.upstreams.values():
        upstream.service_s = run.rng.choice((0.002, 0.8, 3.0))


async def restart_engine(run):
    engine = run.site.engines[run.rng.choice(sorted(run.site.engines))]
    engine.crash()
    engine.starts = getattr(engine, "starts", 0) + 1
    await asyncio.sleep(run.rng.uniform(0.0, 0.5))
    engine.restart()


async def race_publishes(run):
    version = run.rng.choice(("v1", "v2", "v3"))
    run.publish(model_file(version), "cli0")
    run.publish(model_file(run.rng.choice(("v1", "v2"))), "cli1")
    run.publish(PlainService(EXTRA, [Call("POST", f"/{version}")]), "cli1")


FAULT_KINDS = {
    "log out": for_a_while(set_down, lambda run, _: setattr(run.log, "down", False)),
    "log slow": for_a_while(set_slow, lambda run, _: setattr(run.log, "delay_s", 0.0)),
    "host cut from the log": for_a_while(
        cut_log, lambda run, number: setattr(run.views[number], "cut", False)
    ),
    "host silent": for_a_while(silence, lambda run, address: run.net.pause(address, False)),
    "orders late": for_a_while(
        delay_orders, lambda run, number: setattr(run.clients[number], "late_s", 0.0)
    ),
    "engine cut off": for_a_while(cut_engine, join_engine),
    "peers parted": part_peers,
    "appends spoilt": spoil_appends,
    "old record repeated": repeat_old_record,
    "host replaced": replace_host,
    "upstream in trouble": trouble_upstream,
    "upstreams slow": slow_upstreams,
    "engine restarted": restart_engine,
    "publishes race": race_publishes,
}
