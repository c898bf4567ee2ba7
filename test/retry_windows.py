"""What a limit on retries allows in a window, for tests that count requests by tick."""


def allowed_retries(limit, requests, start, window):
    """Return the retries that `limit` allows in the window of `window` ticks from `start` on.

    The requests are those of this window, the one before it or the one between, whichever has most.
    """
    before = max(0, start - window)
    most = max(
        sum(requests[tick] for tick in range(first, first + window))
        for first in (start, before, (start + before) // 2)
    )
    return limit.share * most + limit.slack
