"""What stands still where only the data plane is looked at: a plan and a configuration in force."""

import hashlib
from collections.abc import Sequence

from minttide.config.service import Account, ServiceFile
from minttide.ids import (
    AccountId,
    HostId,
    Incarnation,
    ModelVersion,
    Offset,
    PublishId,
    ServiceName,
    UpstreamId,
)
from minttide.records import Assignment, Envelope, Publish, ServiceChange, encode
from minttide.steps import EngineState, LoadReport
from minttided.node import Node


def make_account(name: str, token: str, **limits: float) -> Account:
    """Return an account with this bearer token."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return Account(AccountId(name), digest, **limits)  # type: ignore[arg-type]


def engine_id(chain: int, stage: int) -> UpstreamId:
    """Return the name of the engine that a planned stage is on."""
    return UpstreamId(f"e{chain}-{stage}")


def plan_chains(
    service: ServiceName, version: ModelVersion, layers: int, chains: int, stages: int, watts: int
) -> list[Assignment]:
    """Plan `chains` chains of `stages` engines with an equal number of layers each."""
    size = layers // stages
    return [
        Assignment(engine_id(c, s), service, version, s * size, (s + 1) * size, watts, f"c{c}")
        for c in range(chains)
        for s in range(stages)
    ]


def apply_service_files(node: Node, files: Sequence[ServiceFile]) -> None:
    """Put service files in force on a node that knows no configuration yet."""
    changes = [ServiceChange(f.service, Offset(-1), f) for f in files]
    body = Publish(PublishId("fixed"), "fixed", changes)
    record = Envelope(1, HostId("operator"), Incarnation(1), 1, body)
    node.config.apply(Offset(0), encode(record))
    node.config_known = True


class FixedPlacement:
    """A `Placement` whose plan changes only where `plan` and `offset` are changed."""

    def __init__(self, plan: list[Assignment]):
        self.plan = plan
        self.offset = Offset(0)

    def assignments(self) -> Sequence[Assignment]:
        """Return the plan."""
        return self.plan

    def state(self, engine: UpstreamId) -> EngineState | None:
        """Return nothing; no engine was read."""
        return None

    def report(self, engine: UpstreamId) -> LoadReport | None:
        """Return nothing; no engine was read."""
        return None

    def suspect(self, engine: UpstreamId) -> None:
        """Do nothing."""
