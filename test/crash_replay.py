"""Replays crashes of engines under a part of prompts, with all other requests that wait on them."""

import heapq
import random
from collections import defaultdict

from minttide.policy.crash_reports import CrashReport
from minttide.policy.prompt_crashes import PromptCrashes

WAIT_S = (0.05, 0.4)
"""Shortest and longest time from sending a request to its first event."""

DOWN_S = 3.0
"""How long an engine that ended is away."""


class CrashReplay:
    """Requests a second, `bad_share` of which have the part `bad`, on engines that it ends.

    Engines also end by themselves, `crashes_per_s` of all a second. Each request has one of `parts`
    shared parts, the first ones more often.
    """

    def __init__(self, seed, engines, requests_per_s, bad_share, crashes_per_s=0.0, parts=180):
        self.rng = random.Random(seed)
        self.crashes = PromptCrashes()
        self.engines = engines
        self.up_s = [0.0] * engines
        self.waiting = defaultdict(dict)
        self.bad_share = bad_share
        self.requests_per_s = requests_per_s
        self.crashes_per_s = crashes_per_s
        self.weights = [1 / (n + 1) ** 0.5 for n in range(parts)]
        self.parts = [f"p{n}" for n in range(parts)]
        self.ended_by_bad = 0
        self.refused = 0
        self.on_trial = set()
        self.begun = 0
        self._count = 0
        self._events = []

    def run(self, length_s):
        now = 0.0
        if self.crashes_per_s:
            self._push(self.rng.expovariate(self.crashes_per_s), "crash", None)
        while now < length_s:
            now += self.rng.expovariate(self.requests_per_s)
            self._advance(now)
            self._arrive(now)

    def _push(self, at_s, kind, detail):
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, kind, detail))

    def _advance(self, now):
        while self._events and self._events[0][0] <= now:
            at_s, _, kind, detail = heapq.heappop(self._events)
            if kind == "crash":
                self._end(self.rng.randrange(self.engines), at_s)
                self._push(at_s + self.rng.expovariate(self.crashes_per_s), "crash", None)
            else:
                self._begin(*detail, at_s)

    def _arrive(self, now):
        parts = (self.rng.choices(self.parts, self.weights)[0],)
        if self.rng.random() < self.bad_share:
            parts += ("bad",)
        self._count += 1
        self._send(f"r{self._count}", parts, now, 1)

    def _send(self, request, parts, now, sends):
        block = self.crashes.find_block("s", parts)
        if block is not None and self.crashes.take_trial(block, now):
            self.on_trial.add(request)
        elif block is not None:
            self.refused += "bad" not in parts
            return
        up = [n for n in range(self.engines) if self.up_s[n] <= now]
        if not up or sends > 2:
            return
        engine = self.rng.choice(up)
        self.waiting[engine][request] = (parts, now, sends)
        self._push(now + self.rng.uniform(*WAIT_S), "begin", (engine, request, now))

    def _begin(self, engine, request, sent_s, now):
        found = self.waiting[engine].get(request)
        if found is None or found[1] != sent_s:
            return
        parts, _, _ = found
        blocked = self.crashes.find_block("s", parts) is not None
        if blocked and request not in self.on_trial:
            del self.waiting[engine][request]  # Abandoned by its host.
        elif "bad" in parts:
            self.ended_by_bad += 1
            self._end(engine, now)
        else:
            del self.waiting[engine][request]
            self.begun += 1
            self.crashes.record_start("s", parts, now)

    def _end(self, engine, now):
        born_ms = int(self.up_s[engine] * 1000)
        self.up_s[engine] = now + DOWN_S
        waited = list(self.waiting.pop(engine, {}).items())
        self.rng.shuffle(waited)
        for request, (parts, sent_s, _) in waited:
            report = CrashReport("s", f"e{engine}", born_ms, request, parts, sent_s, now)
            self.crashes.add([report], own=True)
        for request, (parts, _, sends) in waited:
            self._send(request, parts, now, sends + 1)
