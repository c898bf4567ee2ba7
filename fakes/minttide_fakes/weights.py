"""The weight store of a site, with a rate limit shared by all engines."""

import asyncio


class FakeWeightStore:
    """Serves loads at `mb_per_s` in total, in the order of the requests."""

    def __init__(self, mb_per_s: float = 4_000.0) -> None:
        self.mb_per_s = mb_per_s
        self.loaded_mb = 0.0
        self._free_at_s = 0.0

    async def load(self, megabytes: float) -> None:
        """Wait until `megabytes` have been transferred."""
        now_s = asyncio.get_running_loop().time()
        self._free_at_s = max(self._free_at_s, now_s) + megabytes / self.mb_per_s
        await asyncio.sleep(self._free_at_s - now_s)
        self.loaded_mb += megabytes
