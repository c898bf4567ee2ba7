"""The complete demo: real sockets, three daemons, injected failures, and all its checks."""

from pathlib import Path

from click.testing import CliRunner

from minttide_cli.main import main

EXAMPLES = Path(__file__).parents[1] / "examples"

CHECKS = [
    "in force on all 3 daemons",
    "every model is placed",
    "every answer is the model's own, whole and in order (12 of 12 whole",
    "an engine was killed in mid-stream",
    "all of them went on elsewhere, without gap or repeat (12 of 12 whole",
    "a booking sent twice under one key ran once (ran 1)",
    "a keyed booking was refused as not run, and was not run",
    "a posting ran once, since the ledger itself rejects duplicates",
    "drafts were streamed all the while (6 of 6 whole",
    "once the log was back, the same booking ran once (ran 1)",
    "no request was cut off (12 of 12 whole",
    "entry-2 ended by itself",
    "engines keep nothing of ended requests",
    "their callers took them up on another daemon (12 of 12 whole",
    "power stayed under the cap",
]


def test_all_checks_of_the_demo_pass():
    result = CliRunner().invoke(main, ["demo", "--examples", str(EXAMPLES)])
    assert result.exit_code == 0, result.output
    lines = result.output.splitlines()
    for check in CHECKS:
        assert any("  ok   " in line and check in line for line in lines), check
