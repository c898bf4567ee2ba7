"""Bytes of other processes that aren't what they should be: nested deeply, out of range, or cut."""

import json
import re
import socket
import sys
import zlib
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_store import StoreStandIn
from sync_site import upstream

from minttide import records
from minttide.config.settings import Bounds
from minttide.decoding import (
    MalformedBytesError,
    decode_any_json,
    json_decoder,
    msgpack_decoder,
    unpack,
)
from minttide.routing.sources import SourceError
from minttide_fakes.memory_network import run_in_memory

REPOSITORY = Path(__file__).parents[1]
sys.path.insert(0, str(REPOSITORY / "platform"))

from minttide_platform.decode import (  # noqa: E402
    MAX_COUNT,
    MAX_LAYERS,
    decode_block,
    decode_config,
    decode_entry,
    decode_fault,
    decode_report,
)
from minttide_platform.sources import StoreUpstreams  # noqa: E402
from minttide_platform.store import Store  # noqa: E402
from minttided.gateway.callers.request import parse_last_event_id  # noqa: E402
from minttided.gateway.sync.messages import (  # noqa: E402
    decode_reply,
    decode_request,
    pack,
    unpack_config,
    unpack_config_changes,
    unpack_entries,
)
from minttided.http.messages import HttpRequest, split_address  # noqa: E402
from minttided.http.server import HttpServer  # noqa: E402

DEPTH = 20_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 96,
    "state": "ready",
    "born": 12,
    "layers": {"from": 10, "to": 17},
}
REPORT = {"seq": 3, "waiting": 1, "kvUsed": 3.0, "pace": 1.5, "layers": {"from": 1, "to": 2}}
NUMBERS = ("9" * 20, "9" * 400, "9" * 5000, "-1", "1e400", "-9" + "9" * 30, '"1"', "null", "true")


def with_field(body, path, text):
    """Return JSON with the field at `path` replaced by a text that isn't encoded any more."""
    body = json.loads(json.dumps(body))
    *parents, last = path.split(".")
    target = body
    for name in parents:
        target = target[name]
    target[last] = "@@"
    return json.dumps(body).replace('"@@"', text).encode()


# Guards against a list that is no longer followed as one entry of it is nested too deeply (LOST).
@pytest.mark.parametrize("field", ["more", "service", "layers"])
def test_entry_that_is_nested_too_deeply_names_no_upstream(field):
    assert decode_entry("i-1", with_field(ENTRY, field, NESTED.decode())) is None


ADDRESSES = (
    *("10.0.0.1:0", "10.0.0.1:99999", "10.0.0.1:" + "8" * 5000, "10.0.0.1:-1", "10.0.0.1:8 0"),
    *("host:80", ":80", "10.0.0.1", "", "10.0.0.256:80", "10.0.0.1:80:80", "10.0.0.1:٨٠"),
)


@pytest.mark.parametrize("address", ADDRESSES)
def test_entry_whose_address_is_none_names_no_upstream(address):
    assert decode_entry("i-1", json.dumps({**ENTRY, "address": address}).encode()) is None


@pytest.mark.parametrize("number", NUMBERS)
@pytest.mark.parametrize("path", ["slots", "born", "layers.from", "layers.to"])
def test_entry_with_a_number_out_of_range_names_no_upstream(path, number):
    assert decode_entry("i-1", with_field(ENTRY, path, number)) is None


def never_raises(decode):
    """Return a decoder that returns None for malformed bytes, with the error that it may raise."""
    return decode, ()


DECODERS = {
    "entry": never_raises(lambda data: decode_entry("i-1", data)),
    "rejected order": never_raises(decode_fault),
    "block": never_raises(decode_block),
    "report": (decode_report, SourceError),
    "configuration": (decode_config, SourceError),
    "any JSON": (decode_any_json, MalformedBytesError),
    "JSON": (json_decoder(dict[str, int]).decode, MalformedBytesError),
    "MessagePack": (msgpack_decoder(dict[str, int]).decode, MalformedBytesError),
    "sync reply": (decode_reply, MalformedBytesError),
    "sync request": (decode_request, MalformedBytesError),
    "packed": (unpack, MalformedBytesError),
    "packed configuration": (unpack_config, MalformedBytesError),
    "packed changes": (unpack_config_changes, MalformedBytesError),
    "packed list": (unpack_entries, MalformedBytesError),
    "log record": (records.decode, records.MalformedRecordError),
}
VALID = {
    "entry": json.dumps(ENTRY).encode(),
    "report": json.dumps(REPORT).encode(),
    "packed list": pack([upstream("u1")]),
    "packed": pack([upstream("u1")]),
}
NESTED_BYTES = {
    "JSON arrays": NESTED,
    "JSON arrays in a field": b'{"more":%b}' % NESTED,
    "MessagePack arrays": b"\x91" * DEPTH + b"\xc0",
    "MessagePack maps in a field": b"\x81\xa4more" + b"\x81\xa1a" * DEPTH + b"\xc0",
    "packed MessagePack arrays": zlib.compress(b"\x91" * DEPTH + b"\xc0"),
    "packed JSON arrays": zlib.compress(NESTED),
    "packed without end": zlib.compress(b"a" * 1000)[:-5],
}


@pytest.mark.parametrize("nested", NESTED_BYTES)
@pytest.mark.parametrize("name", DECODERS)
def test_bytes_that_are_nested_too_deeply_are_malformed(name, nested):
    decode, error = DECODERS[name]
    with suppress(error):
        decode(NESTED_BYTES[nested])


def mutate(draw, data):
    """Return bytes with some of them replaced, removed or repeated."""
    data = bytearray(data)
    for _ in range(draw(st.integers(0, 4))):
        at = draw(st.integers(0, max(0, len(data) - 1)))
        to = draw(st.integers(at, min(len(data), at + 20)))
        data[at:to] = draw(st.sampled_from((b"", bytes(data[at:to]) * 3, b"9" * 25, b"-", b"[")))
    return bytes(data)


@pytest.mark.parametrize("name", DECODERS)
@settings(max_examples=200, derandomize=True, database=None, deadline=None)
@given(data=st.data())
def test_drawn_bytes_are_decoded_or_malformed(name, data):
    decode, error = DECODERS[name]
    valid = VALID.get(name, b'{"version":1,"format":1,"a":[1,2]}')
    drawn = data.draw(st.one_of(st.binary(max_size=60), st.composite(mutate)(valid)))
    try:
        decode(drawn)
    except error:
        pass
    except records.NewerFormatError:  # what a later version has written, which isn't malformed
        assert name == "log record" and b'"format"' in drawn


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(data=st.data())
def test_drawn_entry_that_is_listed_can_be_used(data):
    """It can be sent to other hosts, and its address, numbers and layers are within bounds."""
    entry = decode_entry("i-1", data.draw(st.composite(mutate)(VALID["entry"])))
    if entry is not None:
        assert unpack_entries(pack([entry])) == [entry]
        host, port = split_address(entry.address)
        assert socket.inet_aton(host) and 0 < port < 65536
        assert 0 <= entry.slots <= MAX_COUNT and 0 <= entry.born_ms <= MAX_COUNT
        assert entry.layers is None or 0 <= entry.layers.first < entry.layers.last <= MAX_LAYERS


ODD_ENTRIES = {
    "nested": with_field(ENTRY, "more", NESTED.decode()),
    "number": with_field(ENTRY, "slots", "9" * 400),
    "port": with_field(ENTRY, "address", '"10.0.0.9:99999"'),
    "name": with_field(ENTRY, "address", '"host:80"'),
    "type": with_field(ENTRY, "service", "[]"),
    "no JSON": b"\xff\x00",
    "empty object": b"{}",
}


# Guards against processes that end again and again, or stop following the list, by one odd entry.
@pytest.mark.parametrize("case", ODD_ENTRIES)
def test_list_with_an_odd_entry_is_read_and_shared(case):
    """One host reads the list of the store, the other gets it from that one."""

    async def list_upstreams():
        store = StoreStandIn()
        store.put("keyed.servers", "sound-1", json.dumps(ENTRY).encode())
        store.put("keyed.servers", "odd", ODD_ENTRIES[case])
        store.put("keyed.servers", "sound-2", json.dumps(ENTRY).encode())
        async with AsyncExitStack() as stack:
            server = HttpServer(store.handle, "127.0.0.1:0", Bounds())
            await stack.enter_async_context(server)
            client = await stack.enter_async_context(Store(server.address))
            return await StoreUpstreams(client).list()

    entries = run_in_memory(list_upstreams())
    assert [e.id for e in entries] == ["sound-1", "sound-2"]
    assert unpack_entries(pack(entries)) == entries


def test_event_id_of_a_caller_with_thousands_of_digits_is_ignored():
    request = HttpRequest("POST", "/x", "", [("last-event-id", "9" * 5000)], b"")
    assert parse_last_event_id(request) is None


DECODER = re.compile(
    r"msgspec\.(json|msgpack)\.[dD]ecode|decompress|json\.loads|pickle|literal_eval"
)


def test_only_one_module_decodes_bytes_of_other_processes():
    """Elsewhere their errors would have to be listed again."""
    sources = [
        p for d in ("core", "daemon", "cli", "platform") for p in (REPOSITORY / d).rglob("*.py")
    ]
    found = [p.name for p in sources if "_pb2" not in p.name and DECODER.search(p.read_text())]
    assert found == ["decoding.py"]
