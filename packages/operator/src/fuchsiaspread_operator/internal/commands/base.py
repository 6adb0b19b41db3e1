"""Base class of all commands: shared options, output and error handling."""

import math
import sys
from collections.abc import Callable
from typing import TypeVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from ..exit_codes import EXIT_CODES_HELP, ExitCode
from ..gather.entries import Source, choose_source
from ..outcomes import InvalidInput, PlatformUnreachable, UsageProblem
from ..printing.data import to_json
from ..printing.text import fault_lines

FORMATS = ("table", "json")
DEFAULT_TIMEOUT_S = 2.0
MAX_TIMEOUT_S = 60.0
Problem = UsageProblem | InvalidInput | PlatformUnreachable
ReportT = TypeVar("ReportT")

FORMAT_OPTION = option("format", None, "Output format: table (default) or json.", flag=False)
SITE_OPTION = option("site", None, "Name of the site.", flag=False)
PLATFORM_OPTION = option("platform", None, "HOST:PORT of the configuration service.", flag=False)
TIMEOUT_OPTION = option(
    "timeout",
    None,
    f"Timeout of each query in seconds, by default {DEFAULT_TIMEOUT_S:g}.",
    flag=False,
)


def fleet_options() -> list[Option]:
    """Return the options that select the entry VMs to query."""
    return [
        option("members", None, "File with the list of members (members.json).", flag=False),
        option("entries", None, "Admin addresses: HOST:PORT,HOST:PORT,...", flag=False),
        PLATFORM_OPTION,
        SITE_OPTION,
        TIMEOUT_OPTION,
        FORMAT_OPTION,
    ]


def help_text(text: str, *examples: str) -> str:
    """Return the help text of a command with examples and exit codes."""
    shown = "\n".join(f"  fuchsiaspread {example}" for example in examples)
    return f"{text}\n\nExamples:\n{shown}\n\n{EXIT_CODES_HELP}"


class ReportCommand(Command):
    """Command that prints a report as tables or JSON, or an error with a next step."""

    def handle(self) -> int:
        """Check the shared options, then run the command."""
        if self._format() not in FORMATS:
            problem = f"--format {self.option('format')} is unknown"
            return self.fail(UsageProblem(problem, f"write --format {' or '.join(FORMATS)}"))
        try:
            return int(self.run_command())
        except KeyboardInterrupt:
            # cleo would return 1, the exit code for findings.
            return int(ExitCode.INTERRUPTED)

    def run_command(self) -> ExitCode:
        """Gather the input, make the report and print it; each command implements this."""
        raise NotImplementedError

    def emit(self, report: ReportT, to_text: Callable[[ReportT], str]) -> None:
        """Print a report in the chosen format."""
        self._print(to_json(report) if self._format() == "json" else to_text(report))

    def fail(self, problem: Problem) -> ExitCode:
        """Print the reason why there is no report, and return the exit code."""
        match problem:
            case UsageProblem(problem=text, next_step=step):
                self._print_error(f"{text}; {step}; see fuchsiaspread {self.name} --help")
                return ExitCode.USAGE
            case PlatformUnreachable(address=address, problem=text, next_step=step):
                self._print_error(f"{address}: {text}; {step}")
                return ExitCode.NO_ANSWER
            case InvalidInput(faults=faults):
                if self._format() == "json":
                    self._print(to_json({"faults": faults}))
                else:
                    self._print_error(fault_lines(faults))
                return ExitCode.FINDINGS

    def source(self) -> Source | UsageProblem:
        """Return the source of the entry VMs' addresses."""
        names = ("members", "entries", "platform", "site")
        return choose_source(*(self.option(name) for name in names))

    def timeout_s(self) -> float | UsageProblem:
        """Return the timeout of each query."""
        text = self.option("timeout")
        try:
            value = DEFAULT_TIMEOUT_S if text is None else float(text)
        except ValueError:
            value = math.nan
        if not 0 < value <= MAX_TIMEOUT_S:
            step = f"write a number of seconds above 0 and up to {MAX_TIMEOUT_S:g}"
            return UsageProblem(f"--timeout {text} is not a number in range", step)
        return value

    def _format(self) -> str:
        return self.option("format") or FORMATS[0]

    def _print(self, text: str) -> None:
        # Raw output, because cleo interprets angle brackets as style tags.
        self.io.write_line(text, type=Type.RAW)

    def _print_error(self, text: str) -> None:
        self.io.write_error_line(text, type=Type.RAW)


def print_failure(text: str) -> None:
    """Print an error that occurred outside a command."""
    print(text, file=sys.stderr)
