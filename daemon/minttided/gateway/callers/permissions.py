"""What allows a request to be sent, looked at again right before its first byte.

Between the decision to send and the first byte a connection is opened, and this process may be
paused, for seconds: the caller's time, its key or the upstream's place in the list may end then.
"""

from collections.abc import Sequence

from minttide.ids import UpstreamId
from minttide.problems import ProblemType, RequestError
from minttide.routing.routes import AccountKeys
from minttided.gateway.callers.errors import client_error, not_run_error
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import GatewayState, now_s
from minttided.http.client import NotSentError
from minttided.http.messages import HttpRequest

BEARER = "bearer"


class NotPermittedError(NotSentError):
    """The request may no longer be sent, and not because of the upstream."""


class UpstreamClosedError(NotSentError):
    """The upstream takes no request from this host any more: it leaves, or asked for a pause."""


def read_key(authorization: str | None) -> str | None:
    """Return the API key in an Authorization header, None if it has none."""
    scheme, _, key = (authorization or "").partition(" ")
    return key.strip() if scheme.lower() == BEARER else None


def find_account(state: GatewayState, req: HttpRequest) -> AccountKeys:
    """Return the account of a request's key by the newest configuration. Raises `RequestError`."""
    if state.table is None or not state.freshness.keys_usable(state.clock()):
        raise not_run_error(ProblemType.CONFIG_UNKNOWN, "keys can't be confirmed at the moment")
    key = read_key(req.header("authorization"))
    account = state.table.account(key) if key is not None else None
    if account is None:
        require_fresh_config(state, "unknown API key")
        raise client_error(ProblemType.UNAUTHENTICATED, "this route needs a valid API key")
    return account


def require_fresh_config(state: GatewayState, detail: str) -> None:
    """Raise a retryable error if the configuration is too old to reject a request for good.

    A newer one may have the route or the key.
    """
    if state.config_age_s > state.read_timing.max_deny_age_s:
        raise not_run_error(ProblemType.CONFIG_UNKNOWN, f"{detail}, and the configuration is stale")


def check_may_send(
    state: GatewayState, request: GatewayRequest, upstreams: Sequence[UpstreamId], checks_key: bool
) -> None:
    """Raise `NotSentError` unless a request may be sent to the first of `upstreams` now.

    The others are those through which it would pass.

    The key counts with `checks_key`, until the request may have run. One that was sent while its
    key was valid may be tried again, and its stream go on, although the key can't be confirmed
    meanwhile.
    """
    if left_s(state, request) <= 0.0:
        raise NotPermittedError("its time is over")
    if checks_key and request.account is not None:
        _check_key(state, request, request.account)
    if not state.are_active(upstreams):
        raise UpstreamClosedError("the upstream is leaving")
    if state.notices.is_paused(state.upstreams[upstreams[0]], now_s()):
        raise UpstreamClosedError("the upstream asked for a pause")


def _check_key(state: GatewayState, request: GatewayRequest, account: AccountKeys) -> None:
    try:
        found = find_account(state, request.req)
    except RequestError as exc:
        raise NotPermittedError(exc.problem.detail) from exc
    if found.account != account.account:
        raise NotPermittedError("its key has another account")


def left_s(state: GatewayState, request: GatewayRequest) -> float:
    """Return the time in seconds until a request ends, on the caller's clock."""
    return request.end_s - request.received_s - age_s(state, request)


def age_s(state: GatewayState, request: GatewayRequest) -> float:
    """Return the time in seconds since a request was received, on the caller's clock.

    The event loop's time stands still while the machine is suspended, and the caller's doesn't.
    """
    suspended_s = state.suspended_s - request.suspended_s
    return now_s() - request.received_s + suspended_s
