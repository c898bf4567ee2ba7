"""A seeded series of faults, which occur singly, in bursts and overlapping."""

import asyncio
import signal

from soak.proxy import LinkMode

MEAN_PAUSE_S = 0.6
FAULT_DURATION_S = (0.5, 3.0)
DOWNTIME_S = (0.2, 1.0)
LEAVING_S = 4.0
REPLACE_S = 0.5


class Faults:
    """Injects faults into a site for a given time; each fault ends by itself."""

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._busy = set()
        self._tasks = set()
        self._kinds = (
            self._crash,
            self._crash,
            self._drain,
            self._upstream_link_fault,
            self._store_unavailable,
            self._store_link_fault,
            self._kill,
            self._stop,
            self._stop,
            self._pause,
            self._reload,
            self._publish,
            self._publish,
            self._revoke,
        )

    async def run(self, duration_s):
        """Inject faults for `duration_s`, and wait for all of them to end."""
        end_s = asyncio.get_running_loop().time() + duration_s
        while asyncio.get_running_loop().time() < end_s:
            for _ in range(self._rng.choice((1, 1, 1, 2, 3))):
                task = asyncio.create_task(self._rng.choice(self._kinds)())
                self._tasks.add(task)
            await asyncio.sleep(self._rng.random() * 2 * MEAN_PAUSE_S)
        for task in self._tasks:
            await task

    def claim_target(self, targets):
        """Reserve a target that has no other fault; return None when there is none."""
        free = [t for t in targets if id(t) not in self._busy]
        if not free:
            return None
        target = self._rng.choice(free)
        self._busy.add(id(target))
        return target

    def release(self, target):
        """End the reservation of a target."""
        self._busy.discard(id(target))

    async def replace(self, upstream):
        """End the process of an upstream that has left, and start the next one."""
        self._site.remove_entry(upstream.id)
        upstream.crash(silent=False)
        await asyncio.sleep(REPLACE_S)
        upstream.restart()
        self.release(upstream)

    def _draw_duration_s(self):
        return self._rng.uniform(*FAULT_DURATION_S)

    def _record_fault(self, name, target, duration_s=0.0):
        self._site.ledger.record_fault(name, target, duration_s)

    # Upstreams.

    async def _crash(self):
        upstream = self.claim_target(self._site.upstreams)
        if upstream is None:
            return
        duration_s, silent = self._draw_duration_s(), self._rng.random() < 0.5
        self._record_fault("upstream crashes", upstream.id, duration_s)
        upstream.crash(silent)
        await asyncio.sleep(duration_s)
        self._site.remove_entry(upstream.id)
        upstream.restart()
        self.release(upstream)

    async def _drain(self):
        upstream = self.claim_target(self._site.upstreams)
        if upstream is None:
            return
        self._record_fault("upstream drains", upstream.id, LEAVING_S)
        upstream.leaving = True
        self._site.list_upstreams()
        now_s = asyncio.get_running_loop().time()
        self._site.ledger.leaving_s[upstream.id] = now_s
        await asyncio.sleep(LEAVING_S)
        await self.replace(upstream)

    async def _upstream_link_fault(self):
        upstream = self.claim_target(self._site.upstreams)
        if upstream is None:
            return
        duration_s = self._draw_duration_s()
        mode = self._rng.choice((LinkMode.DELAY, LinkMode.DROP_TO_CLIENT, LinkMode.SILENT))
        self._record_fault(f"link {mode.value}", upstream.id, duration_s)
        upstream.proxy.set(mode)
        await asyncio.sleep(duration_s)
        upstream.proxy.set(LinkMode.PASS)
        self.release(upstream)

    # The store.

    async def _store_unavailable(self):
        store = self.claim_target([self._site.store])
        if store is None:
            return
        duration_s = self._draw_duration_s()
        self._record_fault("store out", "store", duration_s)
        store.status = self._rng.choice((503, 429))
        await asyncio.sleep(duration_s)
        store.status = 200
        self.release(store)

    async def _store_link_fault(self):
        gateway = self.claim_target(self._site.gateways)
        if gateway is None:
            return
        duration_s = self._draw_duration_s() * 2
        mode = self._rng.choice(
            (LinkMode.SILENT, LinkMode.RESET, LinkMode.DROP_TO_SERVER, LinkMode.DROP_TO_CLIENT)
        )
        self._record_fault(f"store {mode.value}", gateway.name, duration_s)
        gateway.store_proxy.set(mode)
        await asyncio.sleep(duration_s)
        gateway.store_proxy.set(LinkMode.PASS)
        self.release(gateway)

    # Gateways.

    async def _kill(self):
        gateway = self.claim_target(self._site.gateways)
        if gateway is None:
            return
        self._record_fault("gateway killed", gateway.name, 1.0)
        await gateway.kill()
        await asyncio.sleep(self._rng.uniform(*DOWNTIME_S))
        await gateway.start()
        self.release(gateway)

    async def _stop(self):
        gateway = self.claim_target(self._site.gateways)
        if gateway is None:
            return
        started_s = asyncio.get_running_loop().time()
        self._site.ledger.counts["gateway stopped"] += 1
        ended = await gateway.stop()
        self._site.check_shutdown(gateway, started_s, ended)
        self._record_fault("gateway restarted", gateway.name, 1.0)
        await gateway.kill()
        await asyncio.sleep(self._rng.uniform(*DOWNTIME_S))
        await gateway.start()
        self.release(gateway)

    async def _pause(self):
        gateway = self.claim_target(self._site.gateways)
        if gateway is None:
            return
        duration_s = self._draw_duration_s() * 2
        self._record_fault("gateway paused", gateway.name, duration_s)
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        gateway.send_signal(signal.SIGCONT)
        self.release(gateway)

    async def _reload(self):
        gateway = self._rng.choice(self._site.gateways)
        self._site.ledger.counts["gateway reloaded"] += 1
        gateway.write_settings()
        gateway.send_signal(signal.SIGHUP)

    # The configuration.

    async def _publish(self):
        self._site.ledger.counts["published"] += 1
        self._site.publish()

    async def _revoke(self):
        self._site.ledger.counts["revoked"] += 1
        self._site.replace_key(self._rng)
