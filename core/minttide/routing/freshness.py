"""How long a configuration that can't be confirmed any more may still decide about keys."""

KEY_AGE_SHARE = 0.8
"""Part of the revocation bound after which keys are refused without a fresh reading."""


class ConfigFreshness:
    """When the configuration was last known to be the newest. Times are in seconds.

    A reading counts from when it was sent, since the store may have answered as early as that.
    """

    def __init__(self, revoke_s: float):
        self._limit_s = KEY_AGE_SHARE * revoke_s
        self._confirmed_s: float | None = None

    def set_revocation_bound(self, revoke_s: float) -> None:
        """Use another bound for revoked keys."""
        self._limit_s = KEY_AGE_SHARE * revoke_s

    def confirm(self, sent_s: float) -> None:
        """Note a reading that was sent at `sent_s` and succeeded."""
        if self._confirmed_s is None or sent_s > self._confirmed_s:
            self._confirmed_s = sent_s

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmed reading."""
        return float("inf") if self._confirmed_s is None else now_s - self._confirmed_s

    def keys_usable(self, now_s: float) -> bool:
        """Return whether keys may still be accepted."""
        return self.age_s(now_s) <= self._limit_s
