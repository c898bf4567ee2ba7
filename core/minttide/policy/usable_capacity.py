"""Adapts the part of the engines' memory that requests are admitted to, by what engines reject.

It addresses the load of `priority_admission.py`. How evenly the engines of a service fill depends
on their layers, their zones and the sizes of requests, so no fixed part of their memory is right:
a low one refuses requests that engines have room for, a high one lets engines reject what was
admitted. All hosts follow the same reports and so come to similar parts.
"""

from math import exp

INITIAL_FRACTION = 1.0
"""Part of the memory of the narrowest layer that is admitted to before any rejection."""

MIN_FRACTION = 0.9
"""Smallest part: below it rejections have other causes than too many admitted requests."""

MAX_FRACTION = 1.5
"""Largest part. Streams hold less than their expected tokens for most of their time."""

MAX_REJECTED_SHARE = 0.15
"""Rejections by engines for each arrival from which on less is admitted.

A rejected request is sent along another path within milliseconds, a refused one comes back after
its Retry-After. Only rejections that retries can't make up for are worth a refusal.
"""

DECREASE_PER_S = 0.2
"""Relative decrease in a second while engines reject more."""

INCREASE_PER_S = 0.2
"""Increase in a second while they don't and requests hold nearly as much as is admitted."""

NEARLY_USED = 0.9
"""Part of what is admitted that requests must hold for it to rise."""

MAX_STEP_S = 0.5
"""Longest time that one update accounts for, as the time before it says nothing of the load."""


class UsableCapacity:
    """The part of the engines' memory that one host admits requests to. Times are in seconds."""

    def __init__(self) -> None:
        self.fraction = INITIAL_FRACTION
        self._updated_s = float("-inf")

    def update(self, held_share: float, rejected_share: float, now_s: float) -> None:
        """Adapt to recent reports of all hosts.

        `held_share` is the part of the memory that admitted requests hold, `rejected_share` the
        rejections by engines for each request that arrived.
        """
        elapsed_s = min(MAX_STEP_S, now_s - self._updated_s)
        self._updated_s = now_s
        if rejected_share > MAX_REJECTED_SHARE:
            self.fraction *= exp(-DECREASE_PER_S * elapsed_s)
        elif held_share > NEARLY_USED * self.fraction:
            self.fraction += INCREASE_PER_S * elapsed_s
        self.fraction = min(MAX_FRACTION, max(MIN_FRACTION, self.fraction))
