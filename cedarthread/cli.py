"""cedarthread, a function router.

Usage:
  cedarthread [serve] [--invoke FILE] [--fleet FILE [--store FOLDER]] [--log LEVEL]
  cedarthread check-config
  cedarthread version
  cedarthread fuzz [ARGUMENT...]
  cedarthread (cluster | rig | drill) [ARGUMENT...]
  cedarthread --help

Commands:
  serve         Serve calls, configured by the file that the environment variable BALANCER_CONFIG names
                (the default).
  check-config  Check that file, print a summary of the configuration, and exit.
  version       Print the version.
  fuzz          Search for inputs that break the program (see `cedarthread fuzz --help`).
  cluster       Run a scenario of many router processes with faults between them, or chart its results (see
                `cedarthread cluster --help`). `rig` is the earlier name of this command and still works.
  drill         Run a set of such scenarios and check each (see `cedarthread cluster --help`).

Options:
  --invoke FILE  Also serve the invoke API, configured by this file (see deploy/invoke.toml); off by default.
  --fleet FILE   The operators' declarations for the whole fleet (see deploy/fleet.toml); none by default.
  --store FOLDER  The folder for this router's persistent state; overrides the folder in the fleet file.
  --log LEVEL    Minimum level of log lines: debug, info, warning or error [default: info].
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
EXIT_CANNOT_SERVE = 1  # an address cannot be listened on, or there are too few file descriptors
EXIT_BAD_INPUT = 2  # a file or the environment is invalid, or a tool is not installed

_TOOL_COMMANDS = ("fuzz", "cluster", "rig", "drill")
_TOOLS_PACKAGE = "cedarthread.testing"  # package of the tools, which is not deployed with the program
_SERVING_REQUIREMENTS = "requirements.txt"
_DEVELOPMENT_REQUIREMENTS = "requirements-dev.txt"
_TOOL_REQUIREMENTS = "requirements-tools.txt"
# The requirements file that installs a package that the tools import, by the import name of the package.
_REQUIREMENTS_BY_PACKAGE = {
    "apsw": _SERVING_REQUIREMENTS,
    "cryptography": _SERVING_REQUIREMENTS,
    "msgspec": _SERVING_REQUIREMENTS,
    "hdrh": _DEVELOPMENT_REQUIREMENTS,
    "msgpack": _DEVELOPMENT_REQUIREMENTS,
    "atheris": _TOOL_REQUIREMENTS,
    "coverage": _TOOL_REQUIREMENTS,
    "matplotlib": _TOOL_REQUIREMENTS,
}


def main(argv: list[str] | None = None) -> int:
    """Run one command and return the exit code of the process."""
    arguments = sys.argv[1:] if argv is None else argv
    if arguments and arguments[0] in _TOOL_COMMANDS:
        return run_tool(arguments)
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
    """Print a problem to standard error, and return the exit code."""
    print(f"cedarthread: {problem}", file=sys.stderr)
    return exit_code


def run_tool(arguments: list[str]) -> int:
    """Run a test tool and return its exit code; the tool modules are only imported here, never to serve.

    Args:
        arguments: The name of the tool, followed by its arguments.
    """
    try:
        if arguments[0] == "fuzz":
            from cedarthread.testing.fuzzing import cli as fuzzing_cli

            return fuzzing_cli.main(arguments[1:])
        from cedarthread.testing.cluster import cli as cluster_cli

        return cluster_cli.main(arguments)
    except ModuleNotFoundError as error:
        problem = _missing_package_problem(error.name or "")
        if problem is None:
            raise
        return _fail(f"{arguments[0]}: {problem}")


def _missing_package_problem(module_name: str) -> str | None:
    """Return what to install for a missing module, or None if the module is part of the tool itself."""
    if module_name == _TOOLS_PACKAGE:
        return "the test tools are not part of this installation; run the command in a checkout of the source"
    package = module_name.partition(".")[0]
    requirements = _REQUIREMENTS_BY_PACKAGE.get(package)
    if requirements is None:
        return None
    return f'the package "{package}" is not installed; run: pip install -r {requirements}'


def read_invoke_config(path: str | None) -> InvokeConfig | None:
    """Return the configuration of the invoke API, or None if no file is given."""
    if path is None:
        return None
    from cedarthread.protocols.invoke import config as invoke_config

    return invoke_config.read(Path(path))


def check_fleet_config(path: Path) -> str | None:
    """Return the problem with the fleet file, or None if the file is valid."""
    from cedarthread import fleet_config

    try:
        fleet_config.load_fleet_config(path)
    except fleet_config.FleetConfigError as error:
        return str(error)
    return None


def describe(loaded_config: config.Config) -> str:
    """Return a one-line summary of a configuration, for ``check-config``."""
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
    """Configure logging to standard error; an unknown level name selects level info."""
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
    """Serve until a signal requests shutdown, and return the exit code."""
    from cedarthread.service import Service

    # Otherwise a SIGHUP that arrives before the event loop has its handler would terminate the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    async def run() -> None:
        await Service(loaded_config, invoke_config, config.load, fleet_file, store_folder).run()

    try:
        asyncio.run(run())
    except (OSError, ValueError) as error:
        return _fail(error, EXIT_CANNOT_SERVE)
    return EXIT_OK
