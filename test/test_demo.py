"""The complete demo: real sockets, three daemons, injected failures, and all its checks."""

from pathlib import Path

from click.testing import CliRunner

from minttide_cli.main import main

EXAMPLES = Path(__file__).parents[1] / "examples"

CHECKS = [
    "in force on all 3 daemons",
    "every model is placed",
    "every draft is complete and matches the model's output (12 of 12 complete",
    "an engine crashed during streams",
    "all of them continued on other engines, without missing or repeated tokens (12 of 12 complete",
    "a booking sent twice with one idempotency key ran once (ran 1)",
    "a booking with an idempotency key was rejected as not run, and did not run",
    "a posting ran once, since the ledger itself rejects duplicates",
    "drafts were streamed during the outage (6 of 6 complete",
    "after the log recovered, the same booking ran once (ran 1)",
    "no request was interrupted (12 of 12 complete",
    "entry-2 exited without an error",
    "engines keep no state of finished requests",
    "their callers resumed them on another daemon (12 of 12 complete",
    "power stayed under the cap",
]


def test_all_checks_of_the_demo_pass():
    result = CliRunner().invoke(main, ["demo", "--examples", str(EXAMPLES)])
    assert result.exit_code == 0, result.output
    lines = result.output.splitlines()
    for check in CHECKS:
        assert any("  ok   " in line and check in line for line in lines), check
