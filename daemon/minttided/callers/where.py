"""Returns the entry hosts that a caller should connect to."""

import random

import msgspec

from minttide.ids import Address, ZoneId
from minttide.policy.entry_hosts import EntryHosts, rank_entry_hosts
from minttide.problems import ProblemType
from minttided.callers.accounts import Accounts
from minttided.http.messages import HttpRequest, HttpResponse
from minttided.http.problems import rejection_error
from minttided.node import Node

MAX_ZONE_CHARS = 100
LEAVING_RETRY_AFTER_S = 1.0


class WhereHandler:
    """Handles `GET /v1/where`. `own_address` is returned while there is no member table."""

    def __init__(self, node: Node, accounts: Accounts):
        self._node = node
        self._accounts = accounts
        self._rng = random.Random(f"where/{node.cfg.host}")
        self.own_address = node.cfg.callers

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Return the entry hosts nearest to the zone of the query.

        Raises `RequestError` while no site file is in force or no entry host can be named.
        """
        zone = req.parameter("zone")
        if zone is not None and len(zone) > MAX_ZONE_CHARS:
            raise rejection_error(ProblemType.BAD_REQUEST, "the zone name is too long")
        response = self._choose_addresses(ZoneId(zone) if zone else None, self.own_address)
        if not response.addresses:
            detail = "all known entry hosts are leaving"
            raise rejection_error(ProblemType.OVERLOADED, detail, LEAVING_RETRY_AFTER_S)
        return HttpResponse(200, msgspec.json.encode(response))

    def _choose_addresses(self, zone: ZoneId | None, own_address: Address) -> EntryHosts:
        site = self._accounts.site()
        members = self._node.members
        if members is None:
            return EntryHosts([own_address], site.answer_keep_s)
        return rank_entry_hosts(members.hosts(), zone, site.answer_keep_s, site, self._rng)
