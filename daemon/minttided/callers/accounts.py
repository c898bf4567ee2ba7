"""Authentication of client accounts by the bearer token of a request."""

import hashlib
import hmac

from minttide.config.service import Account, ModelService, PlainService, Site
from minttide.problems import ProblemType
from minttided.http.messages import HttpRequest
from minttided.http.problems import rejection_error
from minttided.node import Node

_BEARER_PREFIX = "bearer "
CONFIG_RETRY_AFTER_S = 2.0


class Accounts:
    """The client accounts of the configuration in force."""

    def __init__(self, node: Node):
        self._node = node

    def site(self) -> Site:
        """Return the site file in force; raises `RequestError` if there is none yet."""
        site = self._node.config.site if self._node.config_known else None
        if site is None:
            detail = "this host has not read the configuration yet"
            raise rejection_error(ProblemType.CONFIG_UNKNOWN, detail, CONFIG_RETRY_AFTER_S)
        return site

    def authenticate(self, req: HttpRequest) -> Account:
        """Return the account of a request's bearer token; raises `RequestError`."""
        header = req.header("authorization") or ""
        if header[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
            raise rejection_error(ProblemType.UNAUTHENTICATED, "the request has no bearer token")
        token = header[len(_BEARER_PREFIX) :].strip()
        digest = hashlib.sha256(token.encode("latin-1", "replace")).hexdigest()
        authenticated = None
        # Compare with every account in constant time, so that timing reveals nothing about tokens.
        for account in self.site().accounts:
            if hmac.compare_digest(account.token_sha256.lower(), digest):
                authenticated = account
        if authenticated is None:
            raise rejection_error(ProblemType.UNAUTHENTICATED, "the bearer token is invalid")
        return authenticated


def check_allowed(account: Account, file: ModelService | PlainService) -> None:
    """Raise `RequestError` unless `account` may use the service that `file` configures."""
    if file.accounts and account.name not in file.accounts:
        raise rejection_error(
            ProblemType.FORBIDDEN, f"account {account.name} may not use this service"
        )
