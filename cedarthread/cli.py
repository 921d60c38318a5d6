"""cedarthread, a function router.

Usage:
  cedarthread [serve] [--invoke FILE] [--fleet FILE [--store FOLDER]] [--log LEVEL]
  cedarthread check-config
  cedarthread version
  cedarthread fuzz [ARGUMENT...]
  cedarthread (rig | drill) [ARGUMENT...]
  cedarthread --help

Commands:
  serve         Serve on sockets, as the environment's BALANCER_CONFIG says (the default).
  check-config  Read that configuration, print what it holds, and end.
  version       Print the version.
  fuzz          Look for inputs that break the program (see `cedarthread fuzz --help`).
  rig, drill    Many processes of the program with faults between them (see `cedarthread rig --help`).

Options:
  --invoke FILE  Serve the invoke API too, as this file says (see deploy/invoke.toml); off by default.
  --fleet FILE   What operators declare for the whole fleet (see deploy/fleet.toml); off by default.
  --store FOLDER  Where this router keeps its state: takes the place of the file's own folder.
  --log LEVEL    Least level of the log lines: debug, info, warning or error [default: info].
"""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from docopt import docopt

import cedarthread
from cedarthread import config

if TYPE_CHECKING:
    from cedarthread.protocols.invoke_config import InvokeConfig


def main(argv: list[str] | None = None) -> int:
    """Run one command; the exit code."""
    told = sys.argv[1:] if argv is None else argv
    if told[:1] == ["fuzz"]:
        return run_fuzz(told[1:])
    if told[:1] in (["rig"], ["drill"]):
        from cedarthread.testing.cluster import cli as rig

        return rig.main(told)
    options = docopt(__doc__, told)
    if options["version"]:
        print(cedarthread.__version__)
        return 0
    try:
        loaded_config = config.load()
    except config.ConfigError as error:
        print(f"cedarthread: {error}", file=sys.stderr)
        return 2
    if options["check-config"]:
        print(describe(loaded_config))
        return 0
    try:
        invoke = read_invoke_config(options["--invoke"])
    except (OSError, ValueError, KeyError, TypeError) as error:
        print(f"cedarthread: {options['--invoke']}: {error}", file=sys.stderr)
        return 2
    fleet = Path(options["--fleet"]) if options["--fleet"] else None
    if fleet is not None and (wrong := check_fleet_config(fleet)) is not None:
        print(f"cedarthread: {wrong}", file=sys.stderr)
        return 2
    return serve(loaded_config, invoke, str(options["--log"]), fleet, options["--store"])


def run_fuzz(argv: list[str]) -> int:
    """The tools of development, where they are installed."""
    try:
        from cedarthread.testing.fuzzing import cli
    except ImportError as error:
        print(f"cedarthread fuzz: {error}; install requirements-tools.txt", file=sys.stderr)
        return 2
    return cli.main(argv)


def read_invoke_config(path: str | None) -> InvokeConfig | None:
    """The invoke API's file, where one is named."""
    if path is None:
        return None
    from cedarthread.protocols import invoke_config

    return invoke_config.read(Path(path))


def check_fleet_config(path: Path) -> str | None:
    """What is wrong with the fleet's file; None: nothing."""
    from cedarthread import fleet_config

    try:
        fleet_config.load_fleet_config(path)
    except fleet_config.FleetConfigError as error:
        return str(error)
    return None


def describe(loaded_config: config.Config) -> str:
    """A configuration in words."""
    classes = ", ".join(f"{c.name} ({c.idempotency.value})" for c in loaded_config.settings.classes)
    listed = len(loaded_config.initial_endpoints[0][1]) if loaded_config.initial_endpoints else 0
    address = f"{loaded_config.host}:{loaded_config.port}"
    return f"{loaded_config.router_name} on {address}; classes {classes}; {listed} runners at the start"


def serve(
    loaded_config: config.Config,
    invoke_config: InvokeConfig | None,
    level: str,
    fleet_file: Path | None = None,
    store_folder: str | None = None,
) -> int:
    """Serve until told to end."""
    from cedarthread.service import Service

    logging.basicConfig(
        level=getattr(logging, level.upper(), logging.INFO),
        stream=sys.stderr,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(name)s: %(message)s",
        datefmt="%H:%M:%S",
    )

    signal.signal(
        signal.SIGHUP, signal.SIG_IGN
    )  # one that comes before the loop runs must not end the process

    async def run() -> None:
        await Service(loaded_config, invoke_config, config.load, fleet_file, store_folder).run()

    try:
        asyncio.run(run())
    except (OSError, ValueError) as error:
        print(f"cedarthread: {error}", file=sys.stderr)
        return 1
    return 0
