"""The fold of the configuration stream."""

import msgspec
import pytest

from minttide.config.service import SITE_NAME, Call, PlainService, Site
from minttide.folds.config import MAX_PUBLISH_AGE_MS, ConfigFold
from minttide.folds.fold import Decision
from minttide.ids import HostId, Incarnation, Offset, PublishId, ServiceName
from minttide.records import RECORD_FORMAT, Envelope, Publish, ServiceChange, encode

BOOKING = ServiceName("booking")
FILE = PlainService(BOOKING, [Call("POST", "/")])


def site(shards):
    return Site(SITE_NAME, 1000, [], [], [], [], key_shards=shards)


def publish(name, seen, file=FILE, time_ms=1000, host="cli", service=BOOKING):
    if file is FILE:
        file = msgspec.structs.replace(FILE, service=service)
    body = Publish(PublishId(name), "ann", [ServiceChange(service, Offset(seen), file)])
    return encode(Envelope(RECORD_FORMAT, HostId(host), Incarnation(1), time_ms, body))


def decisions(payloads):
    fold = ConfigFold()
    return fold, [fold.apply(Offset(i), p)[0].decision for i, p in enumerate(payloads)]


@pytest.mark.parametrize(
    ("payloads", "expected"),
    [
        ([publish("a", -1)], ["accepted"]),
        ([publish("a", -1), publish("b", -1)], ["accepted", "stale"]),
        ([publish("a", -1), publish("b", 0)], ["accepted", "accepted"]),
        ([publish("a", -1), publish("a", -1)], ["accepted", "repeated"]),
        ([publish("a", -1), publish("b", 0), publish("a", -1)], ["accepted", "accepted", "stale"]),
        ([b"\xff\xfe", publish("a", -1)], ["malformed", "accepted"]),
        ([b'{"format":2}', publish("a", -1)], ["stopped", "stopped"]),
        (
            [publish("a", -1), publish("b", 0, None), publish("a", -1)],
            ["accepted", "accepted", "stale"],
        ),
        ([publish("a", -1, site(4))], ["malformed"]),
        (
            [
                publish("a", -1, site(4), service=SITE_NAME),
                publish("b", 0, None, service=SITE_NAME),
                publish("c", 1, site(8), service=SITE_NAME),
            ],
            ["accepted", "accepted", "malformed"],
        ),
    ],
)
def test_decides_on_publishes(payloads, expected):
    _, found = decisions(payloads)
    assert [d.value for d in found] == expected


def test_rejects_a_late_duplicate_after_the_tombstone_expired():
    late_ms = MAX_PUBLISH_AGE_MS * 10
    other = ServiceName("other")
    payloads = [
        publish("a", -1),
        publish("b", 0, None),
        publish("c", -1, time_ms=late_ms, host="x", service=other),
        publish("d", 2, time_ms=late_ms, host="y", service=other),
        publish("a", -1),
    ]
    fold, found = decisions(payloads)
    assert BOOKING not in fold.entries
    assert found[-1] is Decision.TOO_OLD


def test_a_stale_publish_is_never_accepted_later():
    late_ms = MAX_PUBLISH_AGE_MS * 10
    other = ServiceName("other")
    stale_publish = publish("lost", -1, time_ms=late_ms * 3)  # the writer's clock is far ahead
    payloads = [
        publish("a", -1),
        stale_publish,
        publish("b", 0, None, host="y"),
        publish("c", -1, time_ms=late_ms * 2, host="x", service=other),
        publish("d", 3, time_ms=late_ms * 2, host="y", service=other),
        stale_publish,
    ]
    _, found = decisions(payloads)
    assert found[1] is Decision.STALE
    assert found[-1] is Decision.STALE


def test_restored_fold_gives_the_same_results():
    fold, _ = decisions([publish("a", -1), publish("b", 0)])
    copy = ConfigFold()
    copy.restore(fold.snapshot())
    for offset, payload in enumerate([publish("a", -1), publish("c", 1)], start=2):
        assert copy.apply(Offset(offset), payload) == fold.apply(Offset(offset), payload)
    assert copy.snapshot() == fold.snapshot()
