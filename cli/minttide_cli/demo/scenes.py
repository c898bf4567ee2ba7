"""The scenes of the demo: each does one thing to the running site and checks what came of it."""

import asyncio

from minttide.config.checks import check_service_files
from minttide.findings import CheckError
from minttide.ids import Address, ServiceName
from minttide.problems import Ran
from minttide_cli.caller import Caller, CallerError
from minttide_cli.demo.answers import Asked, ask_many, describe
from minttide_cli.demo.site import DemoSite, token_of
from minttide_cli.demo.story import Story
from minttide_cli.demo.waiting import wait_until, wait_until_async
from minttide_cli.operators import ask_daemon, read_applied
from minttide_cli.platform_log import open_log
from minttide_fakes.engine import FakeEngine
from minttided.http.client import ClientResponse
from minttided.log.publisher import Publisher, PublishResult, find_differences, wait_until_applied

IN_FORCE_LIMIT_S = 3.0
PLACED_LIMIT_S = 8.0
SETTLE_LIMIT_S = 3.0
DRAIN_LIMIT_S = 8.0
STREAMS = 12
SEEN_BEFORE_DEATH = 8
MID_STREAM_S = 0.4
BOOKING = ServiceName("booking")
LEDGER = ServiceName("ledger")
KEY = "0199-demo-wedding-of-bat-and-saraa"
OUTAGE_KEY = "0199-demo-during-the-outage"
OK = 200


class Scenes:
    """The scenes, in the order in which they are meant to run."""

    def __init__(self, site: DemoSite, story: Story) -> None:
        self.site = site
        self.story = story

    async def publish(self) -> None:
        """Publish the services of both deployments and wait until they are in force."""
        names = ", ".join(sorted(file.service for file in self.site.served.files))
        self.story.tell(f"Publishing the service files of both deployments: {names}")
        async with (
            open_log(self.site.log_address) as platform_log,
            Publisher(platform_log, "demo") as publisher,
        ):
            files = check_service_files(self.site.texts, publisher.fold.files)
            if files.is_error():
                raise CheckError(files.error)
            differences = find_differences(publisher.fold, list(files.ok.values()))
            started = asyncio.get_running_loop().time()
            publication = await publisher.publish(differences)
        lagging = await wait_until_applied(
            lambda: read_applied(self.site.operators), publication.offset, IN_FORCE_LIMIT_S
        )
        took_s = asyncio.get_running_loop().time() - started
        accepted = publication.result is PublishResult.ACCEPTED
        self.story.check(
            accepted and not lagging,
            f"in force on all {len(self.site.daemons)} daemons within {IN_FORCE_LIMIT_S:g} s",
            f"offset {publication.offset}, {took_s:.2f} s; lagging: {sorted(lagging) or 'none'}",
        )

    async def place(self) -> None:
        """Wait until engines hold whole chains for every model service."""
        holds = await wait_until(PLACED_LIMIT_S, self._is_placed)
        watts, cap = self.site.fakes.watts, self.site.file.power_cap_watts
        self.story.check(
            holds, "every model is placed over engines of several kinds", f"{watts} of {cap} W"
        )

    def _is_placed(self) -> bool:
        status = self.site.daemons[0].app.status()
        served = {chain.service for chain in status.placement.chains}
        holding = all(not e.is_loading for e in self.site.fakes.engines.values())
        return holding and served >= {model.service for model in self.site.models}

    async def stream(self) -> None:
        """Stream drafts of both services at the same time."""
        self.story.tell(f"{STREAMS} drafts at once, through all three daemons")
        answers = await ask_many(
            self.site.make_callers(), "Which program suits a winter wedding?", STREAMS
        )
        self._check_answers(answers, "every answer is the model's own, whole and in order")

    async def lose_stage(self) -> None:
        """Kill an engine in the middle of streams."""
        asking = asyncio.create_task(
            ask_many(self.site.make_callers(), "Who plays in Khovd?", STREAMS)
        )
        victim = await self._find_victim()
        if victim is not None:
            lost = victim.stage.streams
            victim.die()
            self.story.tell(f"engine {victim.engine.id} died while it carried {lost} streams")
        self.story.check(victim is not None, "an engine was killed in mid-stream")
        self._check_answers(await asking, "all of them went on elsewhere, without gap or repeat")

    async def _find_victim(self) -> FakeEngine | None:
        """Return the engine with most streams once it has seen some tokens of each."""
        engines = self.site.fakes.engines.values()
        before = {engine.engine.id: engine.steps_run for engine in engines}

        def find() -> FakeEngine | None:
            busiest = max(engines, key=lambda engine: engine.stage.streams)
            steps = busiest.steps_run - before[busiest.engine.id]
            streams = busiest.stage.streams
            return busiest if streams and steps >= SEEN_BEFORE_DEATH * streams else None

        await wait_until(SETTLE_LIMIT_S, lambda: find() is not None)
        return find()

    async def book_twice(self) -> None:
        """Send one keyed booking twice, at the same time, through two daemons."""
        token = token_of("portal")
        body = b'{"ensemble":"Altai","date":"2026-12-19"}'
        callers = [Caller([entry], token) for entry in self.site.entries[:2]]
        for caller, entry in zip(callers, self.site.entries, strict=False):
            caller.use_only(entry)
        replies = await asyncio.gather(
            *(c.call(BOOKING, "POST", "/bookings", body, KEY) for c in callers),
            return_exceptions=True,
        )
        ran = self.site.fakes.ledgers[BOOKING][KEY]
        seen = [
            str(reply) if isinstance(reply, BaseException) else str(reply.status)
            for reply in replies
        ]
        self.story.check(ran == 1, "a booking sent twice under one key ran once", f"ran {ran}")
        same = len({getattr(reply, "body", reply) for reply in replies}) == 1
        self.story.check(same, "both callers got the same answer", ", ".join(seen))

    async def lose_log(self) -> None:
        """Take the platform's log away for a while."""
        self.story.tell("the platform's log is out")
        self.site.served.log.down = True
        caller = Caller(self.site.entries, token_of("portal"))
        auditor = Caller(self.site.entries, token_of("grocery-north"))
        refused = await self._book(caller)
        told = isinstance(refused, CallerError) and refused.problem.ran is Ran.NOT_RUN
        self.story.check(
            told and not self.site.fakes.ledgers[BOOKING][OUTAGE_KEY],
            "a keyed booking was refused as not run, and was not run",
            str(refused),
        )
        posted = await auditor.call(LEDGER, "POST", "/postings", b"{}", OUTAGE_KEY)
        ran = self.site.fakes.ledgers[LEDGER][OUTAGE_KEY]
        self.story.check(
            posted.status == OK and ran == 1,
            "a posting ran once, since the ledger itself rejects duplicates",
        )
        answers = await ask_many(self.site.make_callers(), "Who sings in Dornod?", STREAMS // 2)
        self._check_answers(answers, "drafts were streamed all the while")
        self.site.served.log.down = False
        back = await wait_until_async(SETTLE_LIMIT_S, lambda: self._is_booked(caller))
        ran = self.site.fakes.ledgers[BOOKING][OUTAGE_KEY]
        self.story.check(
            back and ran == 1, "once the log was back, the same booking ran once", f"ran {ran}"
        )

    async def _book(self, caller: Caller) -> ClientResponse | CallerError:
        try:
            return await caller.call(BOOKING, "POST", "/bookings", b"{}", OUTAGE_KEY)
        except CallerError as exc:
            return exc

    async def _is_booked(self, caller: Caller) -> bool:
        reply = await self._book(caller)
        return isinstance(reply, ClientResponse) and reply.status == OK

    async def stop_one(self) -> None:
        """Stop one daemon under load."""
        leaving = self.site.daemons[1]
        entry = leaving.app.callers_address
        asking = asyncio.create_task(
            ask_many(self.site.make_callers(), "What does a band cost?", STREAMS)
        )
        await wait_until(SETTLE_LIMIT_S, lambda: leaving.app.open_requests > 0)
        self.story.tell(
            f"planned stop of {leaving.cfg.host} with {leaving.app.open_requests} requests open"
        )
        await ask_daemon(leaving.app.operators_address, "POST", "/v1/drain")
        others = [e for e in self.site.entries if e != entry]
        out = await wait_until_async(SETTLE_LIMIT_S, lambda: self._is_out(others, entry))
        self.story.check(out, "the other daemons send no caller there any more")
        self._check_answers(await asking, "no request was cut off", one_connection=True)
        ended = await leaving.wait_ended(DRAIN_LIMIT_S)
        self.story.check(ended, f"{leaving.cfg.host} ended by itself")

    async def _is_out(self, asked: list[Address], entry: Address) -> bool:
        answers = [await Caller([address], "").where() for address in asked]
        return all(entry not in answer.addresses for answer in answers)

    async def lose_daemon(self) -> None:
        """Let one daemon die under load, without notice."""
        lost = self.site.daemons[2]
        asking = asyncio.create_task(
            ask_many(self.site.make_callers(), "Is a deposit due?", STREAMS)
        )
        await wait_until(SETTLE_LIMIT_S, lambda: lost.app.open_requests > 0)
        await asyncio.sleep(MID_STREAM_S)
        self.story.tell(f"{lost.cfg.host} dies with {lost.app.open_requests} requests open")
        await lost.die()
        answers = await asking
        resumed = sum(a.draft is not None and a.draft.connections > 1 for a in answers)
        self._check_answers(answers, "their callers took them up on another daemon")
        self.story.check(resumed > 0, "drafts were resumed", f"{resumed} of {len(answers)}")
        await self.check_engines()

    async def check_engines(self) -> None:
        """Check that engines are left as they were found."""
        fakes = self.site.fakes
        await wait_until(SETTLE_LIMIT_S, lambda: fakes.left_behind == 0)
        self.story.check(fakes.left_behind == 0, "engines keep nothing of ended requests")

    async def look_back(self) -> None:
        """Check what must hold over all scenes."""
        fakes = self.site.fakes
        peak, cap = fakes.peak_watts, self.site.file.power_cap_watts
        self.story.check(peak <= cap, "power stayed under the cap", f"peak {peak} of {cap} W")

    # Helpers.

    def _check_answers(
        self, answers: list[Asked], promise: str, one_connection: bool = False
    ) -> None:
        whole = all(answer.whole for answer in answers)
        if one_connection:
            whole = whole and all(a.draft is not None and a.draft.connections == 1 for a in answers)
        self.story.check(whole, promise, describe(answers))
