"""Faults in a seeded series: they come alone, in bursts and across each other."""

import asyncio
import signal

from soak.proxy import Mode

PAUSE_S = 0.6
FOR_S = (0.5, 3.0)
STOP_FOR_S = (0.2, 1.0)


class Faults:
    """Starts faults on a site until its time is over; each of them ends by itself."""

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._busy = set()
        self._tasks = set()
        self._kinds = (
            self._crash,
            self._crash,
            self._drain,
            self._slow_link,
            self._store_out,
            self._store_cut,
            self._kill,
            self._stop,
            self._stop,
            self._pause,
            self._reload,
            self._publish,
            self._publish,
            self._revoke,
        )

    async def run(self, for_s):
        """Start faults for a while, and wait for all of them to end."""
        until_s = asyncio.get_running_loop().time() + for_s
        while asyncio.get_running_loop().time() < until_s:
            for _ in range(self._rng.choice((1, 1, 1, 2, 3))):
                task = asyncio.create_task(self._rng.choice(self._kinds)())
                self._tasks.add(task)
            await asyncio.sleep(self._rng.random() * 2 * PAUSE_S)
        for task in self._tasks:
            await task

    def _take(self, targets):
        """Return a target without another fault, or none."""
        free = [t for t in targets if id(t) not in self._busy]
        if not free:
            return None
        target = self._rng.choice(free)
        self._busy.add(id(target))
        return target

    def _span(self):
        return self._rng.uniform(*FOR_S)

    def _note(self, name, target, for_s=0.0):
        self._site.ledger.note_fault(name, target, for_s)

    # Upstreams.

    async def _crash(self):
        upstream = self._take(self._site.upstreams)
        if upstream is None:
            return
        span_s, dark = self._span(), self._rng.random() < 0.5
        self._note("upstream crashes", upstream.id, span_s)
        upstream.crash(dark)
        await asyncio.sleep(span_s)
        self._site.drop(upstream.id)
        upstream.restart()
        self._busy.discard(id(upstream))

    async def _drain(self):
        upstream = self._take(self._site.upstreams)
        if upstream is None:
            return
        self._note("upstream drains", upstream.id, 4.0)
        upstream.leaving = True
        self._site.list_upstreams()
        now_s = asyncio.get_running_loop().time()
        self._site.ledger.leaving_s[upstream.id] = now_s
        await asyncio.sleep(4.0)
        self._site.drop(upstream.id)
        upstream.crash(dark=False)
        await asyncio.sleep(0.5)
        upstream.restart()
        self._busy.discard(id(upstream))

    async def _slow_link(self):
        upstream = self._take(self._site.upstreams)
        if upstream is None:
            return
        span_s = self._span()
        mode = self._rng.choice((Mode.DELAY, Mode.CUT_BACK, Mode.SILENT))
        self._note(f"link {mode.value}", upstream.id, span_s)
        upstream.proxy.set(mode)
        await asyncio.sleep(span_s)
        upstream.proxy.set(Mode.PASS)
        self._busy.discard(id(upstream))

    # The store.

    async def _store_out(self):
        store = self._take([self._site.store])
        if store is None:
            return
        span_s = self._span()
        self._note("store out", "store", span_s)
        store.status = self._rng.choice((503, 429))
        await asyncio.sleep(span_s)
        store.status = 200
        self._busy.discard(id(store))

    async def _store_cut(self):
        gateway = self._take(self._site.gateways)
        if gateway is None:
            return
        span_s = self._span() * 2
        mode = self._rng.choice((Mode.SILENT, Mode.RESET, Mode.CUT_THERE, Mode.CUT_BACK))
        self._note(f"store {mode.value}", gateway.name, span_s)
        gateway.store.set(mode)
        await asyncio.sleep(span_s)
        gateway.store.set(Mode.PASS)
        self._busy.discard(id(gateway))

    # Gateways.

    async def _kill(self):
        gateway = self._take(self._site.gateways)
        if gateway is None:
            return
        self._note("gateway killed", gateway.name, 1.0)
        await gateway.kill()
        await asyncio.sleep(self._rng.uniform(*STOP_FOR_S))
        await gateway.start()
        self._busy.discard(id(gateway))

    async def _stop(self):
        gateway = self._take(self._site.gateways)
        if gateway is None:
            return
        began_s = asyncio.get_running_loop().time()
        self._site.ledger.counts["gateway stopped"] += 1
        ended = await gateway.stop()
        self._site.note_stop(gateway, began_s, ended)
        self._note("gateway restarted", gateway.name, 1.0)
        await gateway.kill()
        await asyncio.sleep(self._rng.uniform(*STOP_FOR_S))
        await gateway.start()
        self._busy.discard(id(gateway))

    async def _pause(self):
        gateway = self._take(self._site.gateways)
        if gateway is None:
            return
        span_s = self._span() * 2
        self._note("gateway paused", gateway.name, span_s)
        gateway.send(signal.SIGSTOP)
        await asyncio.sleep(span_s)
        gateway.send(signal.SIGCONT)
        self._busy.discard(id(gateway))

    async def _reload(self):
        gateway = self._rng.choice(self._site.gateways)
        self._site.ledger.counts["gateway reloaded"] += 1
        gateway.write_settings()
        gateway.send(signal.SIGHUP)

    # The configuration.

    async def _publish(self):
        self._site.ledger.counts["published"] += 1
        self._site.publish()

    async def _revoke(self):
        self._site.ledger.counts["revoked"] += 1
        self._site.replace_key(self._rng)
