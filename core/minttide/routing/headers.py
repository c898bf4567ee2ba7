"""Header names of a deployment, in lower case."""

from collections.abc import Callable

import msgspec

ReadHeader = Callable[[str], str | None]
"""Returns the first value of a header, None without one. Names are in lower case."""


class HeaderNames(msgspec.Struct, frozen=True):
    """The name of each header on the wire.

    `attempt` carries the id of one attempt of a caller, which upstreams echo; `account` the client
    account of the request. `expect_instance` names the only process that may run the request.
    `not_run` marks responses of upstreams that did not run the request, `fault_address` gives the
    address of the engine at fault. `path` lists the engines of a path with their layers.
    `prompt_tokens` holds the number of tokens of the prompt and the maximum of the answer,
    `length_hint` the expected number of tokens of the answer. `prompt_parts` lists the parts of the
    prompt in order, each as "<id>:<tokens>"; the last part belongs to the request itself.
    `limit` is the number of requests a second that an upstream takes from all hosts together, in
    its answers while it has such a limit. `leaving` is "1" in the answers of an upstream that
    leaves.
    """

    attempt: str
    deadline_ms: str
    account: str
    expect_instance: str
    not_run: str
    fault_address: str
    path: str
    urgency: str
    prompt_tokens: str
    length_hint: str
    prompt_parts: str
    limit: str
    leaving: str
