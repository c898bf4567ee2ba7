"""The operators' command line, and its client for drafts."""

import asyncio
import json
import shutil
import threading
from contextlib import contextmanager
from pathlib import Path

import pytest
from click.testing import CliRunner

from minttide.problems import Problem, ProblemType, Ran
from minttide_cli.caller import Caller, CallerError, DraftRequest, UnreachableError
from minttide_cli.main import main
from minttide_fakes.faults import AppendFault
from minttide_fakes.log_server import LogServer
from minttide_fakes.memory import MemoryLog
from minttide_fakes.routes import RoutedServer, json_response
from minttided.http.messages import StreamResponse
from minttided.http.problems import problem_response

EXAMPLES = Path(__file__).parents[1] / "examples"


def invoke(*args):
    return CliRunner().invoke(main, [str(arg) for arg in args])


@pytest.mark.parametrize(
    ("args", "status", "says"),
    [
        (["check", EXAMPLES / "bureau"], 0, "3 service files checked, no findings"),
        (["check", EXAMPLES / "zaloga"], 0, "3 service files checked"),
        (["check", "--settings", EXAMPLES / "settings.json"], 0, "1 settings file checked"),
        (["check", EXAMPLES / "settings.json"], 2, "$: the key 'kind' is missing"),
        (["check", EXAMPLES / "bureau", "--json"], 0, "[]"),
        (["check", "/nowhere"], 2, "does not exist"),
        (["schema", "settings"], 0, '"resume_secret"'),
        (["version"], 0, "minttide 0.1.0, record format 1"),
        (["where", "--entry", "localhost:1"], 2, "is not an IP address and a port"),
        (["where", "--entry", "127.0.0.1:1"], 1, "127.0.0.1:1: "),
        (["status"], 1, "name a daemon"),
        (["drain", "127.0.0.1:1"], 1, "127.0.0.1:1: "),
        (["--help"], 0, "3 conflict with"),
    ],
)
def test_command_output_and_exit_status(args, status, says):
    result = invoke(*args)
    assert (result.exit_code, says in result.output) == (status, True), result.output


@pytest.mark.parametrize("command", main.commands)
def test_every_command_has_help_with_an_example(command):
    assert "Example: minttide " in invoke(command, "--help").output


def test_check_prints_every_finding_as_json(tmp_path):
    shutil.copytree(EXAMPLES / "bureau", tmp_path / "b")
    (tmp_path / "b" / "drafts.json").write_text('{"kind": "model", "srvice": "x"}')
    (tmp_path / "b" / "x.json").write_text("{")
    result = invoke("check", tmp_path, "--json")
    assert result.exit_code == 2
    assert {f["file"] for f in json.loads(result.stdout)} == {"b/drafts.json", "b/x.json"}


@contextmanager
def run_server(make):
    """Run a fake server on its own event loop, since a command runs a loop itself."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    def run_on_loop(coro):
        return asyncio.run_coroutine_threadsafe(coro, loop).result(10)

    async def build():
        return await make().__aenter__()

    server = run_on_loop(build())
    try:
        yield server
    finally:
        run_on_loop(server.__aexit__(None, None, None))
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


class StubOperators(RoutedServer):
    """A fake operator interface of a daemon that reports one member per applied offset."""

    def __init__(self, applied):
        self.applied = applied
        super().__init__({("GET", "/v1/status"): self.status}, "127.0.0.1:0")

    async def status(self, req):
        members = [{"host": f"h{i}", "applied": a} for i, a in enumerate(self.applied)]
        return json_response({"members": members})


def test_publish_differences_waiting_and_withdrawals(tmp_path):
    shutil.copytree(EXAMPLES / "bureau", tmp_path / "b")
    booking = tmp_path / "b" / "booking.json"
    with (
        run_server(lambda: LogServer(MemoryLog())) as log,
        run_server(lambda: StubOperators([9, 0])) as ops,
    ):
        publish = ("publish", tmp_path / "b", "--log", log.address)
        outputs = [invoke(*publish, "--dry-run"), invoke(*publish), invoke(*publish)]
        booking.write_text(booking.read_text().replace("4000", "4500", 1))
        log._log.faults.inject(AppendFault.ANSWER_LOST)
        lagging = ("--operators", ops.address, "--wait", 0.1)
        outputs.append(invoke(*publish, *lagging))
        ops.applied[1] = 1_000
        outputs.append(invoke(*publish, "--withdraw", "drafts"))
        (tmp_path / "b" / "drafts.json").unlink()
        outputs.append(invoke(*publish, "--withdraw", "drafts", *lagging))
        booking.write_text(booking.read_text().replace("ub-1", "ub-9"))
        outputs.append(invoke(*publish))
        count = len(log._log.records("config"))
    texts = [o.output for o in outputs]
    assert [o.exit_code for o in outputs] == [0, 0, 0, 4, 2, 0, 2], texts
    says = [
        "add drafts",
        "published as",
        "no differences",
        "not yet in force on: h1 (at 0)",
        "drafts.json: $.service: is withdrawn by --withdraw",
        "in force on every live host",
        "booking.json: $.upstreams[0].zone",
    ]
    assert all(s in o.output for s, o in zip(says, outputs, strict=True)), [
        o.output for o in outputs
    ]
    assert "$.calls[0].timeout_ms: 4000 -> 4500" in outputs[3].output
    assert count == 3


TOKENS = [ord(c) for c in "a whole answer"]


class StubEntry(RoutedServer):
    """A fake entry host that streams TOKENS.

    It interrupts each stream after `cut` tokens and rejects the first `refuse` requests.
    """

    def __init__(self, cut=None, refuse=0):
        self.cut, self.refuse, self.requests = cut, refuse, []
        super().__init__(
            {("GET", "/v1/where"): self.where, ("POST", "/v1/services/d/draft"): self.draft},
            "127.0.0.1:0",
        )

    async def where(self, req):
        return json_response({"addresses": [self.address], "keep_s": 1.0})

    async def draft(self, req):
        body = json.loads(req.body)
        self.requests.append((body.get("resume"), body.get("delivered", [])))
        if self.refuse:
            self.refuse -= 1
            problem = Problem(ProblemType.OVERLOADED, 503, Ran.NOT_RUN, "full", 0.01)
            return problem_response(problem)
        return StreamResponse(self.chunks(len(body.get("delivered", []))))

    async def chunks(self, done):
        yield b'id: 0\nevent: open\ndata: {"resume":"r","version":"v"}\n\n'
        for index, token in enumerate(TOKENS[done:]):
            if index == self.cut:
                raise ConnectionResetError
            data = json.dumps({"token": token, "text": chr(token)})
            yield f"id: {done + index + 1}\nevent: token\ndata: {data}\n\n".encode()
        yield b'event: end\ndata: {"tokens":%d,"ran":"done"}\n\n' % len(TOKENS)


@pytest.mark.parametrize(
    ("options", "connections", "asked"),
    [
        ({}, 1, [(None, 0)]),
        ({"cut": 6}, 3, [(None, 0), ("r", 6), ("r", 12)]),
        ({"refuse": 2}, 1, [(None, 0)] * 3),
    ],
)
def test_a_caller_receives_the_complete_output_once(options, connections, asked):
    async def run():
        async with StubEntry(**options) as stub:
            caller = Caller([stub.address], "token")
            draft = await caller.draft("d", DraftRequest("p", len(TOKENS)))
            return draft, [(resume, len(done)) for resume, done in stub.requests]

    draft, requests = asyncio.run(run())
    assert (draft.text, draft.is_complete, draft.connections) == (
        "a whole answer",
        True,
        connections,
    )
    assert requests == asked


@pytest.mark.parametrize(
    ("cut", "refuse", "error"), [(0, 0, UnreachableError), (1, 9, CallerError)]
)
def test_a_caller_fails_with_the_reason(cut, refuse, error):
    async def run():
        async with StubEntry(cut, refuse) as stub:
            await Caller([stub.address], "token").draft("d", DraftRequest("p", 3))

    with pytest.raises(error, match="was interrupted|full"):
        asyncio.run(run())


@pytest.mark.parametrize("command", main.commands)
def test_every_option_is_on_its_reference_page(command):
    page = EXAMPLES.parent / "docs" / "reference" / "commands" / f"{command}.md"
    text = page.read_text()
    options = [opt for param in main.commands[command].params for opt in param.opts]
    assert [opt for opt in options if opt.startswith("-") and f"`{opt}`" not in text] == []
