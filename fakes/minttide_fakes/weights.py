"""The store that engines load weights from, with a rate for the whole site."""

import asyncio


class FakeWeightStore:
    """Serves weights at `mb_per_s` in the order in which loads were asked for."""

    def __init__(self, mb_per_s: float = 4_000.0) -> None:
        self.mb_per_s = mb_per_s
        self.loaded_mb = 0.0
        self._free_at = 0.0

    async def load(self, megabytes: float) -> None:
        """Wait until `megabytes` have come through."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + megabytes / self.mb_per_s
        await asyncio.sleep(self._free_at - now)
        self.loaded_mb += megabytes
