"""The product's folds decide as the specifications do, on enumerated and generated logs.

Hypothesis derives the generated logs from the source text of the `@given` functions.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from minttide.config.service import Call, PlainService
from minttide.folds.config import ConfigFold
from minttide.folds.keys import MIN_KEY_RETENTION_MS, KeyFold
from minttide.folds.placement import PlacementFold
from minttide.ids import (
    ClaimId,
    HostId,
    IdempotencyKey,
    Incarnation,
    Offset,
    PublishId,
    ServiceName,
    UpstreamId,
)
from minttide.records import (
    RECORD_FORMAT,
    Answer,
    Assignment,
    Claim,
    Confirmation,
    EngineWatts,
    Envelope,
    KeyBatch,
    LeaseAcquire,
    Plan,
    Publish,
    ServiceChange,
    Withdrawal,
    encode,
)
from spec import checkpoint, config, keys, power

TICK_MS = MIN_KEY_RETENTION_MS  # longer than the maximum age of a claim
KEY_RETENTION_MS = TICK_MS + TICK_MS // 2  # a key expires after two ticks
KEY = IdempotencyKey("k")
SERVICE = ServiceName("s")
HOSTS = 3

ENUMERATED = settings(derandomize=True, deadline=None, max_examples=400)


def encode_envelope(host, time_ms, body, incarnation=1):
    return encode(Envelope(RECORD_FORMAT, HostId(host), Incarnation(incarnation), time_ms, body))


def reachable_logs(model):
    """Return the logs of all reachable states of the model, without prefixes of other logs."""
    seen, todo, logs = {model.initial}, [model.initial], set()
    while todo:
        state = todo.pop()
        logs.add(state[0])
        for _, after in model.transitions(state):
            if after not in seen:
                seen.add(after)
                todo.append(after)
    return logs - {log[:-1] for log in logs if log}


# Keys.


def key_records(log):
    """Yield, for each record of a specification log, the records that the product writes."""
    offsets = {-1: -1}
    written = 0
    for n, record in enumerate(log):
        if record.kind == "tick":
            # The fold's time advances only to a time that two hosts have reached.
            rows = [encode_envelope(h, record.time * TICK_MS, KeyBatch([])) for h in ("x", "y")]
        else:
            rows = [encode_change(record, offsets)]
        offsets[n] = written + len(rows) - 1
        written += len(rows)
        yield rows


def encode_change(record, offsets):
    i = record.attempt
    claim_id = ClaimId(str(i))
    change = {
        "claim": lambda: Claim(
            claim_id,
            "a/s",
            KEY,
            "d",
            Offset(offsets.get(record.seen, record.seen)),
            KEY_RETENTION_MS,
        ),
        "withdraw": lambda: Withdrawal(claim_id, "a/s", KEY),
        "answer": lambda: Answer(claim_id, "a/s", KEY, 200, "", b""),
    }[record.kind]()
    host, incarnation = f"h{keys.HOST_OF_ATTEMPT[i]}", 1 + (i == 2)
    return encode_envelope(host, record.time * TICK_MS, KeyBatch([change]), incarnation)


def assert_keys_alike(log):
    fold, offset, accepted = KeyFold(), 0, []
    for rows in key_records(log):
        for row in rows:
            results = fold.apply(Offset(offset), row)
            offset += 1
        accepted.append(any(v.decision.value == "accepted" for v in results))
    entry, expected = keys.fold(log)
    assert tuple(accepted) == expected
    found = fold.find("a/s", KEY)
    owner = None if entry is None else str(entry.owner)
    assert (found.claim_id if found else None) == owner
    if entry is not None:
        assert found.status.value == ("free", "claimed", "answered")[entry.status]


def test_key_fold_matches_specification_on_every_reachable_log():
    for scope in (keys.OVER_TIME, keys.HOST_REPLACED):
        logs = reachable_logs(keys.build(scope))
        assert len(logs) > 100
        for log in logs:
            assert_keys_alike(log)


@st.composite
def key_logs(draw):
    log, now = [], 0
    for _ in range(draw(st.integers(1, 12))):
        kind = draw(st.sampled_from(["claim", "claim", "withdraw", "answer", "tick"]))
        if kind == "tick":
            now += 1
            log.append(keys.Record("tick", -1, -1, now))
            continue
        seen = draw(st.integers(-1, len(log) - 1)) if kind == "claim" else -1
        time = draw(st.integers(max(0, now - 1), now))
        log.append(keys.Record(kind, draw(st.integers(0, 2)), seen, time))
    return tuple(log)


@ENUMERATED
@given(key_logs())
def test_keys_on_drawn_logs(log):
    assert_keys_alike(log)


# Configuration.


def assert_config_alike(log):
    fold, accepted = ConfigFold(), []
    for offset, record in enumerate(log):
        file = PlainService(SERVICE, [Call("POST", f"/{record.publisher}")])
        change = ServiceChange(SERVICE, Offset(record.seen), file)
        body = Publish(PublishId(f"{record.publisher}/{offset}"), "ann", [change])
        if record.kind == "checkpoint":
            body = KeyBatch([])  # ignored, as any record of another kind
        results = fold.apply(Offset(offset), encode_envelope("h", 0, body))
        accepted.append(results[0].decision.value == "accepted")
    changed, expected = config.fold(log)
    assert tuple(accepted) == expected
    assert fold.changed(SERVICE) == changed


@ENUMERATED
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(-1, 8)), max_size=9))
def test_configuration_on_drawn_logs(rows):
    assert_config_alike(tuple(config.Record("publish", i, seen) for i, seen in rows))


def test_config_fold_matches_specification_on_every_reachable_log():
    logs = reachable_logs(config.build())
    assert len(logs) > 50
    for log in logs:
        assert_config_alike(log)


# Leases, plans and power.

WATTS = 100
ENGINES = [UpstreamId(f"e{i}") for i in range(power.ENGINES)]


def placement_body(record, domain):
    if record.kind == "acquire":
        return LeaseAcquire(Offset(record.seen), 1000)
    if record.kind == "plan":
        rows = [
            Assignment(e, SERVICE, "1", 0, 1, w * WATTS, "")
            for e, w in zip(ENGINES, record.levels, strict=True)
        ]
        return Plan(Offset(domain.term), Offset(record.seen), rows, power.CAP * WATTS)
    level = domain.levels[record.engine] if domain.levels else 0
    row = EngineWatts(ENGINES[record.engine], Offset(record.seen), level * WATTS)
    return Confirmation(Offset(domain.term), [row])


def assert_placement_alike(log):
    fold, accepted = PlacementFold(), []
    for offset, record in enumerate(log):
        body = placement_body(record, power.fold(log[:offset])[0])
        results = fold.apply(Offset(offset), encode_envelope(f"h{record.controller}", 0, body))
        accepted.append(results[0].decision.value == "accepted")
    domain, expected = power.fold(log)
    assert tuple(accepted) == expected
    reserved = [fold.reserved.get(e, 0) for e in ENGINES]
    assert reserved == [w * WATTS for w in domain.reserved]
    assert (fold.lease.term, fold.plan_offset) == (domain.term, domain.plan)


def test_placement_fold_matches_specification_on_every_reachable_log():
    logs = reachable_logs(power.build())
    assert len(logs) > 50
    for log in logs:
        assert_placement_alike(log)


placement_records = st.one_of(
    st.builds(power.Record, st.just("acquire"), st.integers(0, 1), st.integers(-1, 8)),
    st.builds(
        power.Record,
        st.just("plan"),
        st.integers(0, 1),
        st.integers(-1, 8),
        st.sampled_from((*power.LEVELS, (2, 2, 2))),
    ),
    st.builds(
        power.Record,
        st.just("confirm"),
        st.integers(0, 1),
        st.integers(0, 8),
        st.just(()),
        st.integers(0, 2),
    ),
)


@ENUMERATED
@given(st.lists(placement_records, max_size=9))
def test_placement_on_drawn_logs(rows):
    assert_placement_alike((power.Record("acquire", 0), *rows))


# Checkpoints.


@ENUMERATED
@given(st.lists(st.sampled_from(sorted(checkpoint.RECORDS)), max_size=14))
def test_readers_from_every_checkpoint_agree_on_drawn_logs(names):
    assert checkpoint.readers_agree(tuple(names))
