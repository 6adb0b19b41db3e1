"""What all commands share: options, output and errors."""

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
from ..outcomes import Unreachable, Unusable, UsageProblem
from ..printing.data import to_json
from ..printing.text import fault_lines

FORMATS = ("table", "json")
DEFAULT_TIMEOUT_S = 2.0
MAX_TIMEOUT_S = 60.0
Problem = UsageProblem | Unusable | Unreachable
ReportT = TypeVar("ReportT")

FORMAT_OPTION = option("format", None, "table for people, json for programs", flag=False)
SITE_OPTION = option("site", None, "Name of the site.", flag=False)
PLATFORM_OPTION = option("platform", None, "HOST:PORT of the configuration service.", flag=False)
TIMEOUT_OPTION = option(
    "timeout",
    None,
    f"Seconds to wait for each answer, {DEFAULT_TIMEOUT_S:g} if left out.",
    flag=False,
)


def fleet_options() -> list[Option]:
    """Return the options that name the entry VMs to ask."""
    return [
        option("members", None, "File with the list of members (members.json).", flag=False),
        option("entries", None, "Admin addresses: HOST:PORT,HOST:PORT,...", flag=False),
        PLATFORM_OPTION,
        SITE_OPTION,
        TIMEOUT_OPTION,
        FORMAT_OPTION,
    ]


def help_text(text: str, *examples: str) -> str:
    """Return the long help of a command with examples and exit codes."""
    shown = "\n".join(f"  fuchsiaspread {example}" for example in examples)
    return f"{text}\n\nExamples:\n{shown}\n\n{EXIT_CODES_HELP}"


class ReportCommand(Command):
    """Print a report as a table or as JSON, and problems with the next step."""

    def handle(self) -> int:
        """Check the options that all commands share, then run the command."""
        if self._format() not in FORMATS:
            problem = f"--format {self.option('format')} is not known"
            return self.fail(UsageProblem(problem, f"write --format {' or '.join(FORMATS)}"))
        try:
            return int(self.run_command())
        except KeyboardInterrupt:
            # cleo would return 1, which stands for findings.
            return int(ExitCode.INTERRUPTED)

    def run_command(self) -> ExitCode:
        """Gather, decide and print; each command implements this."""
        raise NotImplementedError

    def emit(self, report: ReportT, to_text: Callable[[ReportT], str]) -> None:
        """Print a report in the chosen format."""
        self._print(to_json(report) if self._format() == "json" else to_text(report))

    def fail(self, problem: Problem) -> ExitCode:
        """Print why there is no report, and return the exit code."""
        match problem:
            case UsageProblem(problem=text, next_step=step):
                self._print_error(f"{text}; {step}; fuchsiaspread {self.name} --help shows all")
                return ExitCode.USAGE
            case Unreachable(address=address, problem=text, next_step=step):
                self._print_error(f"{address}: {text}; {step}")
                return ExitCode.NO_ANSWER
            case Unusable(faults=faults):
                if self._format() == "json":
                    self._print(to_json({"faults": faults}))
                else:
                    self._print_error(fault_lines(faults))
                return ExitCode.FINDINGS

    def source(self) -> Source | UsageProblem:
        """Return where the entry VMs come from."""
        names = ("members", "entries", "platform", "site")
        return choose_source(*(self.option(name) for name in names))

    def timeout_s(self) -> float | UsageProblem:
        """Return the time to wait for each answer."""
        text = self.option("timeout")
        try:
            value = DEFAULT_TIMEOUT_S if text is None else float(text)
        except ValueError:
            value = math.nan
        if not 0 < value <= MAX_TIMEOUT_S:
            step = f"write a number of seconds up to {MAX_TIMEOUT_S:g}"
            return UsageProblem(f"--timeout {text} is out of range", step)
        return value

    def _format(self) -> str:
        return self.option("format") or FORMATS[0]

    def _print(self, text: str) -> None:
        # Raw output keeps angle brackets, which cleo would read as styles.
        self.io.write_line(text, type=Type.RAW)

    def _print_error(self, text: str) -> None:
        self.io.write_error_line(text, type=Type.RAW)


def print_failure(text: str) -> None:
    """Print a problem that was found outside a command."""
    print(text, file=sys.stderr)
