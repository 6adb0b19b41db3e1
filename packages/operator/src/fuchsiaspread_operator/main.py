"""Entry point of the operator command line."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from .internal.commands.base import print_failure
from .internal.commands.file_commands import (
    CheckCommand,
    DiffCommand,
    SchemaCommand,
    ShowCommand,
)
from .internal.commands.fleet_commands import BurnCommand, ExplainCommand, StatusCommand
from .internal.commands.log_commands import TraceCommand
from .internal.exit_codes import ExitCode

VERSION = "0.1.0"
COMMANDS = (
    CheckCommand,
    ShowCommand,
    DiffCommand,
    StatusCommand,
    ExplainCommand,
    BurnCommand,
    SchemaCommand,
    TraceCommand,
)


def application() -> Application:
    """Return the application with all commands registered."""
    console = Application("fuchsiaspread", VERSION)
    for command in COMMANDS:
        console.add(command())
    console.set_display_name("fuchsiaspread")
    console.auto_exits(False)
    console.catch_exceptions(False)
    return console


def main() -> None:
    """Run the command line and exit the process with its exit code."""
    sys.exit(run())


def run() -> int:
    """Run the command line and return its exit code; failures print one line, no traceback."""
    try:
        return application().run()
    except CleoError as error:
        problem = str(error).strip().rstrip(".")
        print_failure(f"{problem}; fuchsiaspread list shows all commands")
        return ExitCode.USAGE
    except Exception as error:
        # A bug in a command is reported in one line instead of a traceback.
        print_failure(
            f"fuchsiaspread: internal error: {type(error).__name__}: {error}; "
            "report this as a bug, together with the command line"
        )
        return ExitCode.INTERNAL
