"""How long hosts may check keys against a configuration that they can't confirm any more."""

MAX_KEY_AGE_FRACTION = 0.8
"""Age of the last confirmed read above which keys are refused, as a fraction of the bound."""


class ConfigFreshness:
    """Tracks when the configuration was last confirmed to be the newest. Times are in seconds.

    `revoke_s` bounds how long a revoked key may still be accepted. A read counts from when it was
    sent, since the store may have answered as early as that.
    """

    def __init__(self, revoke_s: float):
        self._max_age_s = MAX_KEY_AGE_FRACTION * revoke_s
        self._confirmed_s: float | None = None

    def set_revocation_bound(self, revoke_s: float) -> None:
        """Replace the bound on how long a revoked key may still be accepted."""
        self._max_age_s = MAX_KEY_AGE_FRACTION * revoke_s

    def confirm(self, sent_s: float) -> None:
        """Record a successful read that was sent at `sent_s`."""
        if self._confirmed_s is None or sent_s > self._confirmed_s:
            self._confirmed_s = sent_s

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmed read, infinite before the first."""
        return float("inf") if self._confirmed_s is None else now_s - self._confirmed_s

    def keys_usable(self, now_s: float) -> bool:
        """Return whether keys may still be accepted."""
        return self.age_s(now_s) <= self._max_age_s
