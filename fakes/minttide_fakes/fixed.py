"""A fixed plan and configuration, for tests and measurements of the data plane alone."""

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
    """Return a client account with the bearer token `token`."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return Account(AccountId(name), digest, **limits)  # type: ignore[arg-type]


def engine_id(chain: int, stage: int) -> UpstreamId:
    """Return the id of the engine that runs a stage of a planned chain."""
    return UpstreamId(f"e{chain}-{stage}")


def plan_chains(
    service: ServiceName, version: ModelVersion, layers: int, chains: int, stages: int, watts: int
) -> list[Assignment]:
    """Return a plan of `chains` chains of `stages` engines, with the layers split equally."""
    stage_layers = layers // stages
    return [
        Assignment(
            engine_id(c, s),
            service,
            version,
            s * stage_layers,
            (s + 1) * stage_layers,
            watts,
            f"c{c}",
        )
        for c in range(chains)
        for s in range(stages)
    ]


def apply_service_files(node: Node, files: Sequence[ServiceFile]) -> None:
    """Apply service files on a node that has no configuration yet."""
    changes = [ServiceChange(f.service, Offset(-1), f) for f in files]
    body = Publish(PublishId("fixed"), "fixed", changes)
    record = Envelope(1, HostId("operator"), Incarnation(1), 1, body)
    node.config.apply(Offset(0), encode(record))
    node.config_known = True


class FixedPlacement:
    """A `Placement` with a plan that changes only by assigning `plan` and `offset`."""

    def __init__(self, plan: list[Assignment]):
        self.plan = plan
        self.offset = Offset(0)

    def assignments(self) -> Sequence[Assignment]:
        """Return the plan."""
        return self.plan

    def state(self, engine: UpstreamId) -> EngineState | None:
        """Return None, as no engine is read."""
        return None

    def report(self, engine: UpstreamId) -> LoadReport | None:
        """Return None, as no engine is read."""
        return None

    def suspect(self, engine: UpstreamId) -> None:
        """Do nothing."""
