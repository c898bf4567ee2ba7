"""The scenarios of the demo: each makes a request or a fault and checks the outcome."""

import asyncio

from minttide.config.checks import check_service_files
from minttide.findings import CheckError
from minttide.ids import Address, ServiceName
from minttide.problems import Ran
from minttide_cli.caller import Caller, CallerError
from minttide_cli.demo.answers import DraftResult, ask_many, describe
from minttide_cli.demo.progress import DemoProgress
from minttide_cli.demo.site import DemoSite, token_of
from minttide_cli.demo.waiting import wait_until, wait_until_async
from minttide_cli.operators import ask_daemon, read_applied
from minttide_cli.platform_log import open_log
from minttide_fakes.engine import FakeEngine
from minttided.http.client import ClientResponse
from minttided.log.publisher import Publisher, PublishResult, find_differences, wait_until_applied

IN_FORCE_TIMEOUT_S = 3.0
PLACEMENT_TIMEOUT_S = 8.0
SETTLE_TIMEOUT_S = 3.0
DRAIN_TIMEOUT_S = 8.0
STREAM_COUNT = 12
MIN_STEPS_PER_STREAM = 8
MID_STREAM_DELAY_S = 0.4
BOOKING = ServiceName("booking")
LEDGER = ServiceName("ledger")
BOOKING_KEY = "0199-demo-wedding-of-bat-and-saraa"
OUTAGE_KEY = "0199-demo-during-the-outage"
OK = 200


class Scenarios:
    """The scenarios, in the order in which they run."""

    def __init__(self, site: DemoSite, progress: DemoProgress) -> None:
        self.site = site
        self.progress = progress

    async def publish(self) -> None:
        """Publish the services of both deployments and wait until they are in force."""
        names = ", ".join(sorted(file.service for file in self.site.served.files))
        self.progress.print_line(f"Publishing the service files of both deployments: {names}")
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
            lambda: read_applied(self.site.operators), publication.offset, IN_FORCE_TIMEOUT_S
        )
        took_s = asyncio.get_running_loop().time() - started
        accepted = publication.result is PublishResult.ACCEPTED
        self.progress.check(
            accepted and not lagging,
            f"in force on all {len(self.site.daemons)} daemons within {IN_FORCE_TIMEOUT_S:g} s",
            f"offset {publication.offset}, {took_s:.2f} s; lagging: {sorted(lagging) or 'none'}",
        )

    async def place(self) -> None:
        """Wait until every model service has a chain whose engines have loaded their layers."""
        is_placed = await wait_until(PLACEMENT_TIMEOUT_S, self._is_placed)
        watts, cap = self.site.fakes.watts, self.site.file.power_cap_watts
        self.progress.check(
            is_placed, "every model is placed on engines of several kinds", f"{watts} of {cap} W"
        )

    def _is_placed(self) -> bool:
        status = self.site.daemons[0].app.status()
        served = {chain.service for chain in status.placement.chains}
        holding = all(not e.is_loading for e in self.site.fakes.engines.values())
        return holding and served >= {model.service for model in self.site.models}

    async def stream(self) -> None:
        """Stream drafts from both services concurrently."""
        self.progress.print_line(f"{STREAM_COUNT} concurrent drafts through all three daemons")
        answers = await ask_many(
            self.site.make_callers(), "Which program suits a winter wedding?", STREAM_COUNT
        )
        self._check_answers(answers, "every draft is complete and matches the model's output")

    async def crash_engine(self) -> None:
        """Crash an engine that is running streams."""
        requests = asyncio.create_task(
            ask_many(self.site.make_callers(), "Who plays in Khovd?", STREAM_COUNT)
        )
        victim = await self._find_victim()
        if victim is not None:
            lost = victim.stage.streams
            victim.crash()
            self.progress.print_line(
                f"engine {victim.engine.id} crashed while it ran {lost} streams"
            )
        self.progress.check(victim is not None, "an engine crashed during streams")
        self._check_answers(
            await requests,
            "all of them continued on other engines, without missing or repeated tokens",
        )

    async def _find_victim(self) -> FakeEngine | None:
        """Return the engine with the most streams, once it has run some steps of each."""
        engines = self.site.fakes.engines.values()
        before = {engine.engine.id: engine.steps_run for engine in engines}

        def find() -> FakeEngine | None:
            busiest = max(engines, key=lambda engine: engine.stage.streams)
            steps = busiest.steps_run - before[busiest.engine.id]
            streams = busiest.stage.streams
            return busiest if streams and steps >= MIN_STEPS_PER_STREAM * streams else None

        await wait_until(SETTLE_TIMEOUT_S, lambda: find() is not None)
        return find()

    async def send_duplicate_booking(self) -> None:
        """Send a booking twice with one idempotency key, concurrently through two daemons."""
        token = token_of("portal")
        body = b'{"ensemble":"Altai","date":"2026-12-19"}'
        callers = [Caller([entry], token) for entry in self.site.entries[:2]]
        for caller, entry in zip(callers, self.site.entries, strict=False):
            caller.use_only(entry)
        replies = await asyncio.gather(
            *(c.call(BOOKING, "POST", "/bookings", body, BOOKING_KEY) for c in callers),
            return_exceptions=True,
        )
        ran = self.site.fakes.ledgers[BOOKING][BOOKING_KEY]
        outcomes = [
            str(reply) if isinstance(reply, BaseException) else str(reply.status)
            for reply in replies
        ]
        self.progress.check(
            ran == 1, "a booking sent twice with one idempotency key ran once", f"ran {ran}"
        )
        same = len({getattr(reply, "body", reply) for reply in replies}) == 1
        self.progress.check(same, "both callers got the same response", ", ".join(outcomes))

    async def interrupt_log(self) -> None:
        """Make the platform log unavailable for a while."""
        self.progress.print_line("the platform log is unavailable")
        self.site.served.log.down = True
        caller = Caller(self.site.entries, token_of("portal"))
        auditor = Caller(self.site.entries, token_of("grocery-north"))
        rejected = await self._book(caller)
        is_not_run = isinstance(rejected, CallerError) and rejected.problem.ran is Ran.NOT_RUN
        self.progress.check(
            is_not_run and not self.site.fakes.ledgers[BOOKING][OUTAGE_KEY],
            "a booking with an idempotency key was rejected as not run, and did not run",
            str(rejected),
        )
        posted = await auditor.call(LEDGER, "POST", "/postings", b"{}", OUTAGE_KEY)
        ran = self.site.fakes.ledgers[LEDGER][OUTAGE_KEY]
        self.progress.check(
            posted.status == OK and ran == 1,
            "a posting ran once, since the ledger itself rejects duplicates",
        )
        answers = await ask_many(
            self.site.make_callers(), "Who sings in Dornod?", STREAM_COUNT // 2
        )
        self._check_answers(answers, "drafts were streamed during the outage")
        self.site.served.log.down = False
        has_recovered = await wait_until_async(SETTLE_TIMEOUT_S, lambda: self._is_booked(caller))
        ran = self.site.fakes.ledgers[BOOKING][OUTAGE_KEY]
        self.progress.check(
            has_recovered and ran == 1,
            "after the log recovered, the same booking ran once",
            f"ran {ran}",
        )

    async def _book(self, caller: Caller) -> ClientResponse | CallerError:
        try:
            return await caller.call(BOOKING, "POST", "/bookings", b"{}", OUTAGE_KEY)
        except CallerError as exc:
            return exc

    async def _is_booked(self, caller: Caller) -> bool:
        reply = await self._book(caller)
        return isinstance(reply, ClientResponse) and reply.status == OK

    async def drain_daemon(self) -> None:
        """Shut one daemon down gracefully under load."""
        leaving = self.site.daemons[1]
        entry = leaving.app.callers_address
        requests = asyncio.create_task(
            ask_many(self.site.make_callers(), "What does a band cost?", STREAM_COUNT)
        )
        await wait_until(SETTLE_TIMEOUT_S, lambda: leaving.app.open_requests > 0)
        self.progress.print_line(
            f"graceful shutdown of {leaving.cfg.host},"
            f" open requests: {leaving.app.open_requests}"
        )
        await ask_daemon(leaving.app.operators_address, "POST", "/v1/drain")
        others = [e for e in self.site.entries if e != entry]
        is_out = await wait_until_async(SETTLE_TIMEOUT_S, lambda: self._is_delisted(others, entry))
        self.progress.check(is_out, "the other daemons no longer list it for callers")
        self._check_answers(await requests, "no request was interrupted", one_connection=True)
        exited = await leaving.wait_ended(DRAIN_TIMEOUT_S)
        self.progress.check(exited, f"{leaving.cfg.host} exited without an error")

    async def _is_delisted(self, others: list[Address], entry: Address) -> bool:
        entry_lists = [await Caller([address], "").get_entries() for address in others]
        return all(entry not in entry_list.addresses for entry_list in entry_lists)

    async def crash_daemon(self) -> None:
        """Crash one daemon under load."""
        lost = self.site.daemons[2]
        requests = asyncio.create_task(
            ask_many(self.site.make_callers(), "Is a deposit due?", STREAM_COUNT)
        )
        await wait_until(SETTLE_TIMEOUT_S, lambda: lost.app.open_requests > 0)
        await asyncio.sleep(MID_STREAM_DELAY_S)
        self.progress.print_line(
            f"{lost.cfg.host} crashes, open requests: {lost.app.open_requests}"
        )
        await lost.crash()
        answers = await requests
        resumed = sum(a.draft is not None and a.draft.connections > 1 for a in answers)
        self._check_answers(answers, "their callers resumed them on another daemon")
        self.progress.check(resumed > 0, "drafts were resumed", f"{resumed} of {len(answers)}")
        await self.check_engine_cleanup()

    async def check_engine_cleanup(self) -> None:
        """Check that engines keep no state of finished requests."""
        fakes = self.site.fakes
        await wait_until(SETTLE_TIMEOUT_S, lambda: fakes.retained_items == 0)
        retained = [
            f"{engine.engine.id}: {', '.join(engine.stage.requests) or 'exports'}"
            for engine in fakes.engines.values()
            if engine.retained_items and not engine.dead
        ]
        self.progress.check(
            not retained, "engines keep no state of finished requests", "; ".join(retained)
        )

    async def check_power(self) -> None:
        """Check that the peak power of all scenarios is under the cap."""
        fakes = self.site.fakes
        peak, cap = fakes.peak_watts, self.site.file.power_cap_watts
        self.progress.check(peak <= cap, "power stayed under the cap", f"peak {peak} of {cap} W")

    # Helpers.

    def _check_answers(
        self, results: list[DraftResult], expectation: str, one_connection: bool = False
    ) -> None:
        passed = all(result.is_complete for result in results)
        if one_connection:
            passed = passed and all(
                r.draft is not None and r.draft.connections == 1 for r in results
            )
        self.progress.check(passed, expectation, describe(results))
