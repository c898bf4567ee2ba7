"""How many upstreams may run one request at each of the hosts that it is passed on to.

Such a host can't tell how many upstreams have run the request when it is lost. Therefore each is
granted a part of what the route allows, and what one was granted counts as used.
"""


class UpstreamAllowance:
    """What is left of the number of upstreams that may run one request."""

    def __init__(self, limit: int):
        self.left = limit

    def grant(self, has_others: bool) -> int:
        """Take the part of the next host; if there are others, leave one upstream for them."""
        granted = self.left - 1 if has_others and self.left > 1 else self.left
        self.left -= granted
        return granted

    def give_back(self, granted: int) -> None:
        """Return the part of a host that has not run the request."""
        self.left += granted
