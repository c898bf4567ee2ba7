"""Replays a request that ends each upstream and comes again at several hosts, among sound ones."""

import heapq
import random
from collections import defaultdict

from minttide.policy.crash_reports import CrashReport
from minttide.policy.prompt_crashes import PromptCrashes

SERVICE = "s"
BAD = "request:bad"

RUN_S = (0.01, 0.12)
"""Shortest and longest time from sending the request to the end of the upstream."""

SOUND_S = (0.005, 0.06)
"""Shortest and longest time from sending a sound request to its answer."""

DOWN_S = 3.0
"""How long an upstream that ended is away."""

NEWS_S = (0.05, 0.4)
"""Shortest and longest time that news takes to another host."""

SETTLE_INTERVAL_S = 0.5
BURST_S = 0.005
"""Time within which the repeats of one burst are sent."""

MAX_SENDS = 2


class RepeatReplay:
    """Hosts that send requests to shared upstreams and exchange their news with a delay.

    The request `BAD` comes in bursts of 1 to `burst` at random hosts, `bursts_per_s` of them. Of
    the sound ones, `per_s` a second, some come often, as each has one of `sound` fingerprints.
    """

    def __init__(self, seed, upstreams, burst, bursts_per_s, per_s=40.0, hosts=7, sound=200):
        self.rng = random.Random(seed)
        self.hosts = [PromptCrashes() for _ in range(hosts)]
        for number, crashes in enumerate(self.hosts):
            crashes.on_news = lambda item, number=number: self._spread(number, item)
        self.up_s = [0.0] * upstreams
        self.waiting = defaultdict(list)
        self.burst, self.bursts_per_s, self.per_s = burst, bursts_per_s, per_s
        self.sound = [f"request:{n}" for n in range(sound)]
        self.weights = [1 / (n + 1) ** 0.5 for n in range(sound)]
        self.ended_s = []  # when upstreams ended under the bad request
        self.sent_bad_s = []  # when it reached upstreams
        self.begun = 0
        self.refused = 0
        self._now_s = 0.0
        self._events = []
        self._count = 0

    def run(self, length_s):
        self._push(self.rng.expovariate(self.per_s), self._arrive_sound)
        self._push(1.0 + self.rng.expovariate(self.bursts_per_s), self._arrive_bad)
        self._push(SETTLE_INTERVAL_S, self._settle)
        while self._events[0][0] <= length_s:
            self._now_s, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)

    def late_sends(self, after_s):
        """Return how often the request reached upstreams that long after the third crash."""
        if len(self.ended_s) < 3:
            return 0
        return sum(sent_s > self.ended_s[2] + after_s for sent_s in self.sent_bad_s)

    def _push(self, delay_s, act, *arguments):
        self._count += 1
        heapq.heappush(self._events, (self._now_s + delay_s, self._count, act, arguments))

    def _settle(self):
        for crashes in self.hosts:
            crashes.settle(self._now_s)
        self._push(SETTLE_INTERVAL_S, self._settle)

    def _spread(self, number, item):
        for other in range(len(self.hosts)):
            if other != number:
                self._push(self.rng.uniform(*NEWS_S), self._learn, other, item)

    def _learn(self, host, item):
        self.hosts[host].add([item])

    def _arrive_sound(self):
        part = self.rng.choices(self.sound, self.weights)[0]
        self._send(self.rng.randrange(len(self.hosts)), part, 1)
        self._push(self.rng.expovariate(self.per_s), self._arrive_sound)

    def _arrive_bad(self):
        for _ in range(self.rng.randint(1, self.burst)):
            host = self.rng.randrange(len(self.hosts))
            self._push(self.rng.uniform(0.0, BURST_S), self._send, host, BAD, 1)
        self._push(self.rng.expovariate(self.bursts_per_s), self._arrive_bad)

    def _send(self, host, part, sends):
        crashes = self.hosts[host]
        block = crashes.find_block(SERVICE, (part,))
        if block is not None and not crashes.take_trial(block, self._now_s):
            self.refused += part != BAD
            return
        up = [n for n, up_s in enumerate(self.up_s) if up_s <= self._now_s]
        if not up or sends > MAX_SENDS:
            return
        upstream = self.rng.choice(up)
        if part == BAD:
            self.sent_bad_s.append(self._now_s)
        sent = (host, part, self._now_s, sends)
        self.waiting[upstream].append(sent)
        act = self._crash if part == BAD else self._answer
        self._push(self.rng.uniform(*(RUN_S if part == BAD else SOUND_S)), act, upstream, sent)

    def _answer(self, upstream, sent):
        if sent in self.waiting[upstream]:
            self.waiting[upstream].remove(sent)
            self.begun += 1
            self.hosts[sent[0]].record_start(SERVICE, [sent[1]], self._now_s)

    def _crash(self, upstream, sent):
        if sent in self.waiting[upstream]:
            self.ended_s.append(self._now_s)
            self.end(upstream)

    def end(self, upstream):
        """End an upstream with all that waits on it."""
        born_ms = int(self.up_s[upstream] * 1000)
        self.up_s[upstream] = self._now_s + DOWN_S
        for host, part, sent_s, sends in self.waiting.pop(upstream, ()):
            name = part.partition(":")[2]
            report = CrashReport(
                SERVICE, f"u{upstream}", born_ms, name, (part,), sent_s, self._now_s, f"h{host}"
            )
            self.hosts[host].add([report], own=True)
            self._push(0.001, self._send, host, part, sends + 1)
