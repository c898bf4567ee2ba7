"""The platform adapter: decoding of its message bodies and access to its store."""

import ast
import asyncio
import gc
import json
import re
import sys
import tomllib
from contextlib import suppress
from pathlib import Path

import msgspec
import pytest
from platform_store import StoreStandIn

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from minttide.config.settings import Bounds  # noqa: E402
from minttide.decoding import MalformedBytesError  # noqa: E402
from minttide.ids import Address, HostId  # noqa: E402
from minttide.routing.routes import LayerRange, RouteKind  # noqa: E402
from minttide.routing.sources import ProcessEndedError, SourceError, StoredBlock  # noqa: E402
from minttide_platform.decode import (  # noqa: E402
    decode_config,
    decode_entry,
    decode_fault,
    decode_report,
)
from minttide_platform.main import (  # noqa: E402
    MEMORY_VARIABLE,
    SETTINGS_VARIABLE,
    encode_addresses,
    read_settings,
)
from minttide_platform.sources import (  # noqa: E402
    HttpPathEngines,
    StoreBlocks,
    StoreConfig,
    StoreLease,
    StoreUpstreams,
)
from minttide_platform.store import Store, TrimmedError  # noqa: E402
from minttide_platform.wire import HEADERS  # noqa: E402
from minttided.gateway.callers.directory import ResolveBody  # noqa: E402
from minttided.gateway.settings import GatewaySettings  # noqa: E402
from minttided.http.messages import join_address  # noqa: E402
from minttided.http.server import HttpServer  # noqa: E402

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "pathPrefix": "/d/",
            "kind": "stream",
            "timeoutMs": 20000,
            "sloMs": 500,
            "priority": 1,
            "trafficSplit": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
            "maxAttempts": 2,
            "resumable": True,
            "gapAimMs": 200,
        },
        {
            "name": "r2",
            "host": "a.example",
            "pathPrefix": "/b/",
            "kind": "non_idempotent",
            "timeoutMs": 2000,
            "service": "t",
            "public": True,
            "somethingNew": 1,
        },
    ],
    "services": [
        {
            "name": "s",
            "healthPath": "/health",
            "maxConns": 1068,
            "engine": {
                "slots": 96,
                "kvTokenBytes": 852000,
                "models": [{"name": "m", "loadS": 14.0}],
                "step_ms": 0.85,
                "per_seq_ms": 0.005,
                "read_per_s": 272000.0,
                "loads_at_once": 6,
                "usual": {"prompt": 772, "answer": 145},
                "layers": 80,
                "layerMb": 1750.0,
                "actBytes": 42600,
                "pipeMbps": 9300.0,
                "kinds": [{"name": "t4", "mb": 14400.0, "pace": 15.0, "readX": 15.0}],
            },
        },
        {"name": "t", "healthPath": "/health", "maxConns": 100},
    ],
    "limits": {"maxHeaderBytes": 1000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "acme", "apiKeys": ["k"], "priority": 0}],
}


def test_configuration_is_decoded_to_core_types():
    config = decode_config(json.dumps(CONFIG).encode())
    draft, book = config.routes
    assert config.version == 7
    assert (draft.kind, draft.repeatable, draft.gap_s) == (RouteKind.STREAM, True, 0.2)
    assert [(s.service, s.weight) for s in draft.shares] == [("s", 90), ("t", 10)]
    assert (book.kind, book.repeatable, book.public) == (RouteKind.NON_IDEMPOTENT, False, True)
    model = config.services[0].model
    assert (model.layers, model.load_s, model.usual_prompt) == (80, 14.0, 772)
    assert model.kind("t4").memory_mb == 14400.0
    assert config.services[1].model is None
    assert config.accounts[0].keys == ("k",) and config.accounts[0].priority == 0
    assert (config.limits.max_header_bytes, config.limits.idle_timeout_s) == (1000, 15.0)


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"version":"x"}', b"\xff\xfe"])
def test_malformed_configuration_raises_source_error(data):
    with pytest.raises(SourceError):
        decode_config(data)


ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
    "born": 12,
    "kind": "t4",
    "layers": {"from": 10, "to": 17, "version": 1},
}


def entry_of(server):
    """Return the entry of an engine that listens as `server` does."""
    address = join_address(*server.sockets[0].getsockname()[:2])
    return msgspec.structs.replace(decode_entry("i-1", json.dumps(ENTRY).encode()), address=address)


# Guards against collections that hold up the process while thousands of routes and keys are read.
def test_routes_and_keys_are_left_out_of_collections():
    config = decode_config(json.dumps(CONFIG).encode())
    records = [*config.routes, *(s for r in config.routes for s in r.shares), *config.accounts]
    assert not any(gc.is_tracked(record) for record in records)


def test_entry_is_decoded_to_upstream_with_layers():
    entry = decode_entry("i-1", json.dumps(ENTRY).encode())
    assert (entry.id, entry.address, entry.leaving) == ("i-1", "10.0.0.1:80", False)
    assert (entry.layers, entry.born_ms, entry.kind) == (LayerRange(10, 17), 12, "t4")
    draining = decode_entry("i-1", json.dumps({**ENTRY, "state": "draining"}).encode())
    assert draining.leaving
    assert decode_entry("i-1", json.dumps({**ENTRY, "layers": None}).encode()).layers is None


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": None},
        {"address": "nowhere"},
        {"address": 7},
        {"slots": "many"},
        {"zone": None},
        {"born": "x"},
    ],
)
def test_invalid_entry_is_ignored(change):
    assert decode_entry("i-1", json.dumps({**ENTRY, **change}).encode()) is None


@pytest.mark.parametrize("data", [b"", b"\x00\x01", b"nonsense", b"[1]"])
def test_unreadable_entry_is_ignored(data):
    assert decode_entry("i-1", data) is None


def test_report_lists_stalled_streams():
    report = decode_report(
        b'{"seq":2,"busy":true,"running":3,"kvUsed":5,"kvTotal":9,"pace":1.5,"born":4,'
        b'"layers":{"from":0,"to":16},"stalled":[{"id":"a","address":"10.0.0.2:80"}]}'
    )
    assert (report.seq, report.busy, report.pace) == (2, True, 1.5)
    assert report.layers == LayerRange(0, 16)
    assert report.stalled == (("a", "10.0.0.2:80"),)
    with pytest.raises(SourceError):
        decode_report(b"{}")


def run_with_store(check):
    async def run():
        stand_in = StoreStandIn()
        server = HttpServer(stand_in.handle, Address("127.0.0.1:0"), Bounds())
        async with server, Store(server.address) as store:
            return await check(stand_in, store)

    return asyncio.run(run())


def encode_config(version):
    return json.dumps({**CONFIG, "version": version}).encode()


def test_configuration_is_read_once_and_then_on_changes():
    async def check(stand_in, store):
        source = StoreConfig(store)
        stand_in.put("keyed.op", "config", encode_config(3))
        first = await source.read(None, 0.0)
        nothing = await source.read(first.position, 0.0)
        stand_in.put("keyed.op", "other", b"x")
        stand_in.put("keyed.op", "config", encode_config(5))
        changed = await source.read(nothing.position, 0.0)
        return first.config.version, nothing.config, changed.config.version, changed.position

    assert run_with_store(check) == (3, None, 5, 3)


def test_expired_records_are_replaced_by_newest_ones():
    async def check(stand_in, store):
        stand_in.put("keyed.op", "config", encode_config(3))
        stand_in.put("keyed.op", "config", encode_config(9))
        stand_in.first_offset = 1
        with pytest.raises(TrimmedError):
            await store.read("keyed.op", 0, 0.0)
        return (await StoreConfig(store).read(0, 0.0)).config.version

    assert run_with_store(check) == 9


def test_upstream_listing_follows_pages_and_skips_invalid_entries():
    async def check(stand_in, store):
        for i in range(5):
            stand_in.put("keyed.servers", f"i-{i}", json.dumps(ENTRY).encode())
        stand_in.put("keyed.servers", "i-3", b"\x00")
        return sorted(e.id for e in await StoreUpstreams(store).list())

    assert run_with_store(check) == ["i-0", "i-1", "i-2", "i-4"]


@pytest.mark.parametrize("status", [429, 503, 500])
def test_store_rejection_raises_source_error(status):
    async def check(stand_in, store):
        stand_in.status = status
        with pytest.raises(SourceError):
            await StoreUpstreams(store).list()
        with pytest.raises(SourceError):
            await StoreConfig(store).read(None, 0.0)
        with pytest.raises(SourceError):
            await StoreLease(store, HostId("a")).renew(1.5)

    run_with_store(check)


def test_lease_is_held_by_one_group_member():
    async def check(stand_in, store):
        a, b = StoreLease(store, HostId("a")), StoreLease(store, HostId("b"))
        held = [(await a.renew(1.5)).held, (await b.renew(1.5)).held]
        await a.release()
        return held, (await b.renew(1.5)).held

    assert run_with_store(check) == ([True, False], True)


def test_addresses_are_encoded_in_platform_format():
    body = ResolveBody([Address("10.0.0.1:1")], 1.0)
    assert json.loads(encode_addresses(body)) == {"addresses": ["10.0.0.1:1"], "ttlS": 1.0}


MEMORIES = {"200": 200.0, "552.5": 552.5, "": 300.0, None: 300.0, "63": None, "much": None}


# Guards against budgets for another memory than the process has.
@pytest.mark.parametrize("text", MEMORIES)
def test_memory_comes_from_the_environment_that_the_deploy_file_sets(text, tmp_path, monkeypatch):
    role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
    assert role["env"] == {MEMORY_VARIABLE: "{{limits.memoryMb}}"}
    path = tmp_path / "settings.json"
    fields = ("host", "zone", "callers", "directory", "health", "peer", "metrics", "store")
    path.write_text(json.dumps(dict.fromkeys(fields, "10.0.0.1:1")))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    monkeypatch.delenv(MEMORY_VARIABLE, raising=False)
    if text is not None:
        monkeypatch.setenv(MEMORY_VARIABLE, text)
    if MEMORIES[text] is None:
        with pytest.raises(MalformedBytesError):
            read_settings()
    else:
        assert read_settings().memory_mb == MEMORIES[text]


def test_settings_template_matches_gateway_settings():
    template = (ROOT / "deploy" / "settings.json.in").read_text()
    quoted = re.sub(r'"?\{\{([a-z.A-Z_]+)(\|json)?\}\}[^",\n }]*"?', sample_value, template)
    cfg = msgspec.json.decode(quoted, type=GatewaySettings)
    assert cfg.stop.grace_s == 1


def sample_value(match):
    name = match.group(1)
    if name == "seeds":
        return '["10.0.0.1:1"]'
    numeric = name.startswith("bounds.") or name == "heartbeatMs"
    return "1" if numeric else '"10.0.0.1:1"'


PLATFORM_NAMES = re.compile(
    r"minttide-(attempt|server|deadline|hop|not-run|expect|token|tenant|instance|prompt|request-u)"
    r"|at-server|keyed\.(op|servers|status)|log-(append|read|newest|join|leave|commit)"
    r"|pathPrefix|trafficSplit|coldLeftMs|fencingToken|MINTTIDE_CONFIG\b"
    r"|/minttide/(ready|resolve|report|order)",
)


def test_platform_names_do_not_appear_outside_their_folders():
    found = []
    for folder in ("core", "daemon", "cli", "fakes", "measure", "spec"):
        for path in (ROOT / folder).rglob("*.py"):
            lines = path.read_text().splitlines()
            found += [f"{path}:{i}" for i, t in enumerate(lines, 1) if PLATFORM_NAMES.search(t)]
    assert not found


# Guards against a SIGHUP that ends a process which is starting. Importing `site` alone takes longer
# than all that comes before the first statement.
def test_nothing_runs_before_a_gateway_ignores_the_reload_signal():
    run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]["run"]
    assert run == "python3 -S platform/run.py"
    statements = ast.parse((ROOT / "platform" / "run.py").read_text()).body[1:3]
    assert [ast.unparse(s) for s in statements] == [
        "import _signal",
        "_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)",
    ]


def test_adapter_is_smaller_than_a_tenth_of_the_product():
    def count(folder):
        return sum(len(p.read_text().splitlines()) for p in (ROOT / folder).rglob("*.py"))

    product = sum(count(f) for f in ("core", "daemon", "cli"))
    assert count("platform") < product / 10


@pytest.mark.parametrize(
    ("body", "fault"),
    [
        (b'{"address":"10.0.0.1:80"}', "10.0.0.1:80"),
        (b'{"address":null}', None),
        (b'{"reason":"busy"}', None),
        (b"", None),
        (b"[1", None),
    ],
)
def test_rejected_order_reports_engine_at_fault(body, fault):
    assert decode_fault(body) == fault


def test_each_report_uses_a_new_connection():
    """Replays an engine whose kept connections go silent without being closed."""
    body = b'{"seq":3}'
    response = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await reader.read()
        writer.close()

    async def check():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            entry = entry_of(server)
            engines = HttpPathEngines()
            return [(await engines.report(entry, 5.0)).seq for _ in range(3)]

    assert asyncio.run(check()) == [3, 3, 3]


# Guards against an order of a host whose lease has run out while it was connecting.
@pytest.mark.parametrize("may_send", [True, False])
def test_order_is_sent_only_if_it_may_be_once_connected(may_send):
    orders = []

    async def serve(reader, writer):
        with suppress(asyncio.IncompleteReadError):
            orders.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"HTTP/1.1 202 X\r\ncontent-length: 0\r\n\r\n")
            await reader.read()
        writer.close()

    async def check():
        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            entry = entry_of(server)
            place = HttpPathEngines().place(entry, LayerRange(0, 4), 7, 3, True, lambda: may_send)
            if may_send:
                return (await place).accepted
            with pytest.raises(SourceError):
                await place
            return False

    assert asyncio.run(check()) is may_send
    assert len(orders) == may_send


@pytest.mark.parametrize("status", [200, 500, 503])
def test_what_an_engine_says_of_itself_beside_a_report_is_passed_on(status):
    head = (
        f"HTTP/1.1 {status} X\r\nRetry-After: 2\r\nServer-Leaving: 1\r\ncontent-length: 0\r\n\r\n"
    )
    answers = []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head.encode())
        writer.close()

    async def check():
        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            entry = entry_of(server)
            engines = HttpPathEngines()
            engines.on_answer = lambda entry, status, read_header: answers.append(
                (entry.id, status, read_header("retry-after"), read_header(HEADERS.leaving))
            )
            with suppress(SourceError):
                await engines.report(entry, 5.0)

    asyncio.run(check())
    assert answers == [("i-1", status, "2", "1")]


ENDED_ENGINES = {
    "nothing listens": (None, ProcessEndedError),
    "another process has its address": (b"HTTP/1.1 421 X\r\n\r\n", ProcessEndedError),
    "it closes the connection": (b"", SourceError),
    "it fails": (b"HTTP/1.1 500 X\r\n\r\n", SourceError),
    "its report can't be read": (b"HTTP/1.1 200 X\r\n\r\nno report", SourceError),
}


@pytest.mark.parametrize("case", ENDED_ENGINES)
def test_report_tells_a_process_that_ended_from_one_that_fails(case):
    response, expected = ENDED_ENGINES[case]

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    async def check():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            entry = entry_of(server)
            if response is None:
                server.close()
                await server.wait_closed()
            with pytest.raises(SourceError) as raised:
                await HttpPathEngines().report(entry, 5.0)
            return type(raised.value), raised.value.reached

    assert asyncio.run(check()) == (expected, response is not None)


@pytest.mark.parametrize("listens", [True, False])
def test_connection_tells_a_process_that_ended(listens):
    async def check():
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        async with server:
            entry = entry_of(server)
            if not listens:
                server.close()
                await server.wait_closed()
            try:
                await HttpPathEngines().check_reachable(entry, 5.0)
            except ProcessEndedError:
                return "ended"
            return "listens"

    assert asyncio.run(check()) == ("listens" if listens else "ended")


def test_prompt_blocks_are_kept_in_a_topic_of_their_own():
    blocks = [
        StoredBlock("s", ("a", "x")),
        StoredBlock("s", ("y" * 300,)),
        StoredBlock("t", ("x",)),
    ]

    async def check(stand_in, store):
        source = StoreBlocks(store)
        assert await source.load() == []
        for block in [*blocks, blocks[0]]:
            await source.save(block)
        stand_in.put("keyed.prompt-blocks", "other", b"nonsense")
        await source.delete(blocks[2])
        return await source.load()

    found = run_with_store(check)
    assert len(found) == 2 and set(found) == set(blocks[:2])
