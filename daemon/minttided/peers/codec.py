"""Converts the message types of `peers.interfaces` to the messages of `peer.proto` and back."""

from collections.abc import Iterable

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
from minttided.http.messages import Headers
from minttided.peers.interfaces import (
    ForwardedCall,
    ForwardedRequest,
    Probe,
    ProbeReply,
    PullReply,
    ResponseHead,
)
from minttided.peers.responses import ResponsePart
from minttided.proto import peer_pb2 as pb

_STATUS_TO_PROTO = {
    Status.ALIVE: pb.Status.ALIVE,
    Status.SUSPECT: pb.Status.SUSPECT,
    Status.DOWN: pb.Status.DOWN,
}
_STATUS_FROM_PROTO = {number: status for status, number in _STATUS_TO_PROTO.items()}


# Gossip.


def encode_member(member: Member) -> pb.Member:
    """Encode one entry of the member table."""
    return pb.Member(
        host=member.host,
        incarnation=member.incarnation,
        zone=member.zone,
        callers=member.callers,
        peer=member.peer,
        version=member.version,
        status=_STATUS_TO_PROTO[member.status],
        leaving=member.leaving,
    )


def decode_member(msg: pb.Member) -> Member:
    """Decode one entry of the member table; an unknown status counts as alive.

    A peer of a newer version may send one.
    """
    return Member(
        HostId(msg.host),
        Incarnation(msg.incarnation),
        ZoneId(msg.zone),
        Address(msg.callers),
        Address(msg.peer),
        msg.version,
        _STATUS_FROM_PROTO.get(msg.status, Status.ALIVE),
        msg.leaving,
    )


def encode_gossip(gossip: Gossip) -> pb.Gossip:
    """Encode a gossip message."""
    vitals = [
        pb.Vitals(
            host=v.host,
            incarnation=v.incarnation,
            beat=v.beat,
            applied=v.applied,
            load=v.load,
            cut_off=v.cut_off,
        )
        for v in gossip.vitals
    ]
    leaving = [
        pb.LeavingUpstream(upstream=n.upstream, announced_ms=n.announced_ms) for n in gossip.leaving
    ]
    return pb.Gossip(
        sender=encode_member(gossip.sender),
        members=[encode_member(m) for m in gossip.members],
        vitals=vitals,
        leaving=leaving,
    )


def decode_gossip(msg: pb.Gossip) -> Gossip:
    """Decode a gossip message."""
    vitals = [
        Vitals(
            HostId(v.host),
            Incarnation(v.incarnation),
            v.beat,
            Offset(v.applied),
            v.load,
            tuple(ServiceName(name) for name in v.cut_off),
        )
        for v in msg.vitals
    ]
    leaving = [LeavingUpstream(UpstreamId(n.upstream), n.announced_ms) for n in msg.leaving]
    members = [decode_member(m) for m in msg.members]
    return Gossip(decode_member(msg.sender), members, vitals, leaving)


# Probes.


def encode_probe(probe: Probe) -> pb.ProbeRequest:
    """Encode a probe."""
    return pb.ProbeRequest(
        gossip=encode_gossip(probe.gossip),
        indirect=probe.indirect or "",
        full=probe.full,
        digest=probe.digest,
    )


def decode_probe(msg: pb.ProbeRequest) -> Probe:
    """Decode a probe."""
    indirect = Address(msg.indirect) if msg.indirect else None
    return Probe(decode_gossip(msg.gossip), indirect, msg.full, msg.digest)


def encode_probe_reply(reply: ProbeReply) -> pb.ProbeReply:
    """Encode the reply to a probe."""
    return pb.ProbeReply(gossip=encode_gossip(reply.gossip), reached=reply.reached)


def decode_probe_reply(msg: pb.ProbeReply) -> ProbeReply:
    """Decode the reply to a probe."""
    return ProbeReply(decode_gossip(msg.gossip), msg.reached)


# Configuration records.


def encode_pull_reply(pull_reply: PullReply) -> pb.PullReply:
    """Encode the reply to a pull."""
    reply = pb.PullReply(
        records=[pb.Record(offset=r.offset, payload=r.payload) for r in pull_reply.records]
    )
    if pull_reply.snapshot is not None:
        reply.snapshot.covers = pull_reply.snapshot.covers
        reply.snapshot.data = pull_reply.snapshot.data
    return reply


def decode_pull_reply(msg: pb.PullReply) -> PullReply:
    """Decode the reply to a pull."""
    records = [LogRecord(Offset(r.offset), r.payload) for r in msg.records]
    if not msg.HasField("snapshot"):
        return PullReply(records)
    return PullReply(records, Checkpoint(Offset(msg.snapshot.covers), msg.snapshot.data))


# Headers.


def _encode_headers(headers: Headers) -> list[pb.Header]:
    return [pb.Header(name=n, value=v) for n, v in headers]


def _decode_headers(headers: Iterable[pb.Header]) -> Headers:
    return [(h.name, h.value) for h in headers]


# Keyed calls.


def encode_forwarded_call(call: ForwardedCall) -> pb.CallRequest:
    """Encode a forwarded keyed call."""
    return pb.CallRequest(
        account=call.account,
        service=call.service,
        key=call.key,
        method=call.call.method,
        path=call.call.path,
        headers=_encode_headers(call.call.headers),
        body=call.call.body,
        remaining_s=call.remaining_s,
    )


def decode_forwarded_call(msg: pb.CallRequest) -> ForwardedCall:
    """Decode a forwarded keyed call."""
    return ForwardedCall(
        AccountId(msg.account),
        ServiceName(msg.service),
        IdempotencyKey(msg.key),
        UpstreamCall(msg.method, msg.path, _decode_headers(msg.headers), msg.body),
        msg.remaining_s,
    )


def encode_outcome(outcome: UpstreamReply | Problem) -> pb.CallReply:
    """Encode the outcome of a keyed call."""
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


def decode_outcome(msg: pb.CallReply) -> UpstreamReply | Problem:
    """Decode the outcome of a keyed call. Raises `ValueError` for a message without one."""
    if msg.HasField("reply"):
        return UpstreamReply(msg.reply.status, msg.reply.content_type, msg.reply.body)
    if not msg.HasField("problem"):
        raise ValueError("the peer's reply has no outcome")
    msg_problem = msg.problem
    retry_after_s = msg_problem.retry_after_s if msg_problem.HasField("retry_after_s") else None
    return Problem(
        ProblemType(msg_problem.type),
        msg_problem.status,
        Ran(msg_problem.ran),
        msg_problem.detail,
        retry_after_s,
    )


# Forwarded requests.


def encode_forwarded_request(request: ForwardedRequest) -> pb.ForwardRequest:
    """Encode a forwarded request."""
    return pb.ForwardRequest(
        method=request.method,
        target=request.target,
        headers=_encode_headers(request.headers),
        body=request.body,
        age_s=request.age_s,
        config_version=request.config_version,
        max_upstreams=request.max_upstreams,
    )


def decode_forwarded_request(msg: pb.ForwardRequest) -> ForwardedRequest:
    """Decode a forwarded request."""
    return ForwardedRequest(
        msg.method,
        msg.target,
        _decode_headers(msg.headers),
        msg.body,
        msg.age_s,
        msg.config_version,
        msg.max_upstreams,
    )


def encode_response_part(part: ResponsePart) -> pb.ForwardReply:
    """Encode the head of a response, a chunk of its body, or None as its end."""
    if part is None:
        return pb.ForwardReply(end=pb.ResponseEnd())
    if isinstance(part, bytes):
        return pb.ForwardReply(chunk=part)
    head = pb.ResponseHead(
        status=part.status,
        content_type=part.content_type,
        headers=_encode_headers(part.headers),
    )
    return pb.ForwardReply(head=head)


def decode_response_part(msg: pb.ForwardReply) -> ResponsePart:
    """Decode a part of a response. Raises `ValueError` for a message without a known part."""
    if msg.HasField("chunk"):
        return msg.chunk
    if msg.HasField("end"):
        return None
    if not msg.HasField("head"):
        raise ValueError("the peer's reply has no known part of a response")
    return ResponseHead(msg.head.status, msg.head.content_type, _decode_headers(msg.head.headers))
