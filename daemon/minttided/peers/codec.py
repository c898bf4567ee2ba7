"""Turns the typed messages of `peer_link` into those of `peer.proto` and back."""

from minttide.folds.checkpoint import Checkpoint
from minttide.gossip import Gossip, LeavingUpstream, Member, Status, Vitals
from minttide.ids import (
    AccountId,
    Address,
    HostId,
    IdempotencyKey,
    Incarnation,
    Offset,
    ServiceName,
    UpstreamId,
    ZoneId,
)
from minttide.interfaces import LogRecord, UpstreamCall, UpstreamReply
from minttide.problems import Problem, ProblemType, Ran
from minttided.peers.link import ForwardedCall, Probe, ProbeAnswer, Pulled
from minttided.proto import peer_pb2 as pb

_STATUS_OUT = {
    Status.ALIVE: pb.Status.ALIVE,
    Status.SUSPECT: pb.Status.SUSPECT,
    Status.DOWN: pb.Status.DOWN,
}
_STATUS_IN = {number: status for status, number in _STATUS_OUT.items()}


# Gossip.


def member_out(member: Member) -> pb.Member:
    """Encode one entry."""
    return pb.Member(
        host=member.host,
        incarnation=member.incarnation,
        zone=member.zone,
        callers=member.callers,
        peer=member.peer,
        version=member.version,
        status=_STATUS_OUT[member.status],
        leaving=member.leaving,
    )


def member_in(msg: pb.Member) -> Member:
    """Decode one entry; a status of a newer version counts as alive."""
    return Member(
        HostId(msg.host),
        Incarnation(msg.incarnation),
        ZoneId(msg.zone),
        Address(msg.callers),
        Address(msg.peer),
        msg.version,
        _STATUS_IN.get(msg.status, Status.ALIVE),
        msg.leaving,
    )


def gossip_out(gossip: Gossip) -> pb.Gossip:
    """Encode news."""
    vitals = [
        pb.Vitals(
            host=v.host, incarnation=v.incarnation, beat=v.beat, applied=v.applied, load=v.load
        )
        for v in gossip.vitals
    ]
    leaving = [
        pb.LeavingUpstream(upstream=n.upstream, announced_ms=n.announced_ms) for n in gossip.leaving
    ]
    return pb.Gossip(
        sender=member_out(gossip.sender),
        members=[member_out(m) for m in gossip.members],
        vitals=vitals,
        leaving=leaving,
    )


def gossip_in(msg: pb.Gossip) -> Gossip:
    """Decode news."""
    vitals = [
        Vitals(HostId(v.host), Incarnation(v.incarnation), v.beat, Offset(v.applied), v.load)
        for v in msg.vitals
    ]
    leaving = [LeavingUpstream(UpstreamId(n.upstream), n.announced_ms) for n in msg.leaving]
    members = [member_in(m) for m in msg.members]
    return Gossip(member_in(msg.sender), members, vitals, leaving)


# Probes.


def probe_out(probe: Probe) -> pb.ProbeRequest:
    """Encode a probe."""
    return pb.ProbeRequest(
        gossip=gossip_out(probe.gossip),
        indirect=probe.indirect or "",
        full=probe.full,
        digest=probe.digest,
    )


def probe_in(msg: pb.ProbeRequest) -> Probe:
    """Decode a probe."""
    indirect = Address(msg.indirect) if msg.indirect else None
    return Probe(gossip_in(msg.gossip), indirect, msg.full, msg.digest)


def answer_out(answer: ProbeAnswer) -> pb.ProbeReply:
    """Encode the answer to a probe."""
    return pb.ProbeReply(gossip=gossip_out(answer.gossip), reached=answer.reached)


def answer_in(msg: pb.ProbeReply) -> ProbeAnswer:
    """Decode the answer to a probe."""
    return ProbeAnswer(gossip_in(msg.gossip), msg.reached)


# Configuration records.


def pulled_out(pulled: Pulled) -> pb.PullReply:
    """Encode records or a snapshot."""
    reply = pb.PullReply(
        records=[pb.Record(offset=r.offset, payload=r.payload) for r in pulled.records]
    )
    if pulled.snapshot is not None:
        reply.snapshot.covers = pulled.snapshot.covers
        reply.snapshot.data = pulled.snapshot.data
    return reply


def pulled_in(msg: pb.PullReply) -> Pulled:
    """Decode records or a snapshot."""
    records = [LogRecord(Offset(r.offset), r.payload) for r in msg.records]
    if not msg.HasField("snapshot"):
        return Pulled(records)
    return Pulled(records, Checkpoint(Offset(msg.snapshot.covers), msg.snapshot.data))


# Keyed calls.


def call_out(call: ForwardedCall) -> pb.CallRequest:
    """Encode a keyed call."""
    return pb.CallRequest(
        account=call.account,
        service=call.service,
        key=call.key,
        method=call.call.method,
        path=call.call.path,
        headers=[pb.Header(name=n, value=v) for n, v in call.call.headers],
        body=call.call.body,
        remaining_s=call.remaining_s,
    )


def call_in(msg: pb.CallRequest) -> ForwardedCall:
    """Decode a keyed call."""
    headers = [(h.name, h.value) for h in msg.headers]
    return ForwardedCall(
        AccountId(msg.account),
        ServiceName(msg.service),
        IdempotencyKey(msg.key),
        UpstreamCall(msg.method, msg.path, headers, msg.body),
        msg.remaining_s,
    )


def outcome_out(outcome: UpstreamReply | Problem) -> pb.CallReply:
    """Encode how a keyed call ended."""
    if isinstance(outcome, UpstreamReply):
        reply = pb.UpstreamReply(
            status=outcome.status, content_type=outcome.content_type, body=outcome.body
        )
        return pb.CallReply(reply=reply)
    problem = pb.Problem(
        type=outcome.type.value,
        status=outcome.status,
        ran=outcome.ran.value,
        detail=outcome.detail,
        retry_after_s=outcome.retry_after_s,
    )
    return pb.CallReply(problem=problem)


def outcome_in(msg: pb.CallReply) -> UpstreamReply | Problem:
    """Decode how a keyed call ended. Raises `ValueError` for an answer that says neither."""
    if msg.HasField("reply"):
        return UpstreamReply(msg.reply.status, msg.reply.content_type, msg.reply.body)
    if not msg.HasField("problem"):
        raise ValueError("the peer's answer has no outcome")
    told = msg.problem
    retry_after_s = told.retry_after_s if told.HasField("retry_after_s") else None
    return Problem(ProblemType(told.type), told.status, Ran(told.ran), told.detail, retry_after_s)
