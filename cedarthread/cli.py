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
from cedarthread.errors import ConfigurationError

if TYPE_CHECKING:
    from cedarthread.protocols.invoke.config import InvokeConfig


EXIT_OK = 0
EXIT_CANNOT_SERVE = 1  # an address can't be listened on, or there are too few file descriptors
EXIT_BAD_INPUT = 2  # a file or the environment can't be used, or a tool is not installed

_DEVELOPMENT_COMMANDS = ("rig", "drill")


def main(argv: list[str] | None = None) -> int:
    """Run one command; returns the exit code of the process."""
    arguments = sys.argv[1:] if argv is None else argv
    if arguments[:1] == ["fuzz"]:
        return run_fuzz(arguments[1:])
    if arguments and arguments[0] in _DEVELOPMENT_COMMANDS:
        from cedarthread.testing.cluster import cli as cluster_cli

        return cluster_cli.main(arguments)
    options = docopt(__doc__, arguments)
    if options["version"]:
        print(cedarthread.__version__)
        return EXIT_OK
    try:
        loaded_config = config.load()
    except ConfigurationError as error:
        return _fail(error)
    if options["check-config"]:
        print(describe(loaded_config))
        return EXIT_OK
    try:
        invoke_config = read_invoke_config(options["--invoke"])
    except (OSError, ValueError, KeyError, TypeError) as error:
        return _fail(f"{options['--invoke']}: {error}")
    fleet_file = Path(options["--fleet"]) if options["--fleet"] else None
    if fleet_file is not None and (problem := check_fleet_config(fleet_file)) is not None:
        return _fail(problem)
    _configure_logging(str(options["--log"]))
    return serve(loaded_config, invoke_config, fleet_file, options["--store"])


def _fail(problem: object, exit_code: int = EXIT_BAD_INPUT) -> int:
    """Say on standard error what is wrong; returns the exit code."""
    print(f"cedarthread: {problem}", file=sys.stderr)
    return exit_code


def run_fuzz(argv: list[str]) -> int:
    """Run the fuzzing tools of development, if they are installed."""
    try:
        from cedarthread.testing.fuzzing import cli
    except ImportError as error:
        print(f"cedarthread fuzz: {error}; install requirements-tools.txt", file=sys.stderr)
        return EXIT_BAD_INPUT
    return cli.main(argv)


def read_invoke_config(path: str | None) -> InvokeConfig | None:
    """The configuration of the invoke API; None where no file is named."""
    if path is None:
        return None
    from cedarthread.protocols.invoke import config as invoke_config

    return invoke_config.read(Path(path))


def check_fleet_config(path: Path) -> str | None:
    """What is wrong with the fleet file; None: nothing."""
    from cedarthread import fleet_config

    try:
        fleet_config.load_fleet_config(path)
    except fleet_config.FleetConfigError as error:
        return str(error)
    return None


def describe(loaded_config: config.Config) -> str:
    """A configuration in one line, for ``check-config``."""
    classes = ", ".join(
        f"{request_class.name} ({request_class.idempotency.value})"
        for request_class in loaded_config.settings.classes
    )
    endpoint_count = 0
    if loaded_config.initial_endpoints:
        _, first_list = loaded_config.initial_endpoints[0]
        endpoint_count = len(first_list)
    address = f"{loaded_config.host}:{loaded_config.port}"
    return (
        f"{loaded_config.router_name} on {address}; classes {classes}; {endpoint_count} runners at the start"
    )


def _configure_logging(level_name: str) -> None:
    """Log to standard error; an unknown level means info."""
    logging.basicConfig(
        level=getattr(logging, level_name.upper(), logging.INFO),
        stream=sys.stderr,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(name)s: %(message)s",
        datefmt="%H:%M:%S",
    )


def serve(
    loaded_config: config.Config,
    invoke_config: InvokeConfig | None,
    fleet_file: Path | None = None,
    store_folder: str | None = None,
) -> int:
    """Serve until a signal ends it; returns the exit code."""
    from cedarthread.service import Service

    # A SIGHUP that comes before the event loop handles it must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    async def run() -> None:
        await Service(loaded_config, invoke_config, config.load, fleet_file, store_folder).run()

    try:
        asyncio.run(run())
    except (OSError, ValueError) as error:
        return _fail(error, EXIT_CANNOT_SERVE)
    return EXIT_OK
