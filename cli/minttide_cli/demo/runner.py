"""Runs the demo from start to end, scene by scene."""

import asyncio
from pathlib import Path

from minttide_cli.demo.scenes import Scenes
from minttide_cli.demo.site import ACCOUNTS, DemoSite, token_of
from minttide_cli.demo.story import Echo, Story


async def run_demo(examples: Path, echo: Echo, keep: bool) -> list[str]:
    """Run all scenes and return the promises that didn't come true.

    With `keep`, publishes and places only, and leaves everything up until cancelled. Raises
    `CheckError`.
    """
    story = Story(echo)
    async with DemoSite(examples) as site:
        zones = ", ".join(daemon.cfg.zone for daemon in site.daemons)
        engines = len(site.fakes.engines)
        story.tell(f"{len(site.daemons)} daemons are up in {zones}, with {engines} engines")
        scenes = Scenes(site, story)
        await scenes.publish()
        await scenes.place()
        if keep:
            await _keep(site, echo)
        await scenes.stream()
        await scenes.lose_stage()
        await scenes.book_twice()
        await scenes.lose_log()
        await scenes.stop_one()
        await scenes.check_engines()
        await scenes.lose_daemon()
        await scenes.look_back()
    return story.failures


async def _keep(site: DemoSite, echo: Echo) -> None:
    """Print how to reach the site, and wait."""
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
    echo("Everything stays up until you press Ctrl-C.")
    await asyncio.Event().wait()
