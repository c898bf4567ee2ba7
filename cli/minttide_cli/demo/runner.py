"""Runs all scenarios of the demo in order."""

import asyncio
from pathlib import Path

from minttide_cli.demo.progress import DemoProgress, Echo
from minttide_cli.demo.scenarios import Scenarios
from minttide_cli.demo.site import ACCOUNTS, DemoSite, token_of


async def run_demo(examples: Path, echo: Echo, keep: bool) -> list[str]:
    """Run all scenarios and return the checks that failed.

    With `keep`, only publish and place, and keep the site running until cancelled. Raises
    `CheckError`.
    """
    progress = DemoProgress(echo)
    async with DemoSite(examples) as site:
        zones = ", ".join(daemon.cfg.zone for daemon in site.daemons)
        engines = len(site.fakes.engines)
        progress.print_line(
            f"{len(site.daemons)} daemons are running in {zones}, with {engines} engines"
        )
        scenarios = Scenarios(site, progress)
        await scenarios.publish()
        await scenarios.place()
        if keep:
            await _keep(site, echo)
        await scenarios.stream()
        await scenarios.crash_engine()
        await scenarios.send_duplicate_booking()
        await scenarios.interrupt_log()
        await scenarios.drain_daemon()
        await scenarios.check_engine_cleanup()
        await scenarios.crash_daemon()
        await scenarios.check_power()
    return progress.failures


async def _keep(site: DemoSite, echo: Echo) -> None:
    """Print how to connect to the site, and wait until cancelled."""
    entry, model = site.entries[0], site.models[0]
    token = token_of(ACCOUNTS[model.service])
    echo("")
    echo(f"export MINTTIDE_LOG={site.log_address}")
    echo(f'export MINTTIDE_OPERATORS="{" ".join(site.operators)}"')
    echo(f'export MINTTIDE_ENTRY="{" ".join(site.entries)}"')
    echo(f"export MINTTIDE_TOKEN={token}")
    echo("")
    echo(f"curl -N -H 'Authorization: Bearer {token}' \\")
    echo('  -d \'{"prompt": "Who plays in Khovd?", "max_tokens": 30, "stream": true}\' \\')
    echo(f"  http://{entry}/v1/services/{model.service}/draft")
    echo("")
    echo("The site runs until you press Ctrl-C.")
    await asyncio.Event().wait()
