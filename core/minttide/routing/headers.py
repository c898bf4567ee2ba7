"""Names of the headers that a deployment uses; all lower-case."""

import msgspec


class HeaderNames(msgspec.Struct, frozen=True):
    """What each header is called on the wire.

    `attempt` names one try of a caller, and upstreams echo it; `account` tells the upstream whose
    request it is. `expect_instance` names the only process that may run the request. `not_run`
    stands on answers of upstreams that did not run the request, `fault_address` names the engine at
    fault. `path` lists the engines of a path with their layers. `prompt_tokens` holds the tokens of
    the prompt and the most tokens of the answer, `length_hint` the answer's expected tokens.
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
