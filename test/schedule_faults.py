"""Faults of the random schedules; each one is injected into a running schedule."""

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


def temporary_fault(begin, end):
    async def fault(schedule):
        context = begin(schedule)

        async def restore():
            await asyncio.sleep(schedule.rng.choice((0.5, 2.0, 8.0)))
            end(schedule, context)

        schedule.spawn(restore())

    return fault


def make_log_unavailable(schedule):
    schedule.log.down = True


def slow_log(schedule):
    schedule.log.delay_s = schedule.rng.choice((0.3, 1.5))


def disconnect_from_log(schedule):
    number = schedule.pick_host()
    schedule.views[number].cut = True
    return number


def silence_host(schedule):
    address = Address(f"h{schedule.pick_host()}:1")
    schedule.net.pause(address)
    return address


def delay_orders(schedule):
    number = schedule.pick_host()
    schedule.clients[number].order_delay_s = schedule.rng.choice((1.0, 9.0))
    return number


def disconnect_engine(schedule):
    engine = schedule.rng.choice(sorted(schedule.site.engines))
    for clients in schedule.clients.values():
        clients.cut.add(engine)
    return engine


def reconnect_engine(schedule, engine):
    for clients in schedule.clients.values():
        clients.cut.discard(engine)


async def partition_peers(schedule):
    schedule.net.cut(Address(f"h{schedule.pick_host()}:1"), Address(f"h{schedule.pick_host()}:1"))


async def inject_append_faults(schedule):
    fault = schedule.rng.choice(list(AppendFault))
    source = schedule.rng.choice([schedule.log.faults, schedule.views[schedule.pick_host()].faults])
    source.inject(
        fault, times=schedule.rng.choice((1, 3, 6)), delay_s=schedule.rng.choice((0.2, 4.0))
    )


async def duplicate_old_record(schedule):
    stream = schedule.rng.choice(STREAMS)
    records = schedule.log.records(stream)
    if records:
        schedule.log.put(stream, schedule.rng.choice(records).payload)


async def replace_host(schedule):
    schedule.spawn(schedule.crash(schedule.pick_host()))


async def inject_upstream_faults(schedule):
    upstream = schedule.rng.choice(sorted(schedule.site.upstreams))
    schedule.site.upstreams[upstream].inject_fault(schedule.rng.choice(list(CallFault)), 2)


async def slow_upstreams(schedule):
    for upstream in schedule.site.upstreams.values():
        upstream.service_s = schedule.rng.choice((0.002, 0.8, 3.0))


async def restart_engine(schedule):
    engine = schedule.site.engines[schedule.rng.choice(sorted(schedule.site.engines))]
    engine.crash()
    engine.starts = getattr(engine, "starts", 0) + 1
    await asyncio.sleep(schedule.rng.uniform(0.0, 0.5))
    engine.restart()


async def publish_concurrently(schedule):
    version = schedule.rng.choice(("v1", "v2", "v3"))
    schedule.publish(model_file(version), "cli0")
    schedule.publish(model_file(schedule.rng.choice(("v1", "v2"))), "cli1")
    schedule.publish(PlainService(EXTRA, [Call("POST", f"/{version}")]), "cli1")


FAULT_KINDS = {
    "log out": temporary_fault(
        make_log_unavailable, lambda schedule, _: setattr(schedule.log, "down", False)
    ),
    "log slow": temporary_fault(
        slow_log, lambda schedule, _: setattr(schedule.log, "delay_s", 0.0)
    ),
    "host cut from the log": temporary_fault(
        disconnect_from_log, lambda schedule, number: setattr(schedule.views[number], "cut", False)
    ),
    "host silent": temporary_fault(
        silence_host, lambda schedule, address: schedule.net.pause(address, False)
    ),
    "orders late": temporary_fault(
        delay_orders,
        lambda schedule, number: setattr(schedule.clients[number], "order_delay_s", 0.0),
    ),
    "engine cut off": temporary_fault(disconnect_engine, reconnect_engine),
    "peers parted": partition_peers,
    "appends spoilt": inject_append_faults,
    "old record repeated": duplicate_old_record,
    "host replaced": replace_host,
    "upstream in trouble": inject_upstream_faults,
    "upstreams slow": slow_upstreams,
    "engine restarted": restart_engine,
    "publishes race": publish_concurrently,
}
