"""Commands that read log files of entry VMs."""

from pathlib import Path

from cleo.helpers import argument

from ..decide.tracing import Trace, trace
from ..exit_codes import ExitCode
from ..gather.logs import read_logs
from ..outcomes import UsageProblem
from .base import FORMAT_OPTION, ReportCommand, help_text


class TraceCommand(ReportCommand):
    """Tell what happened to a request or a flow."""

    name = "trace"
    description = "Tell from log files what happened to a request or a flow."
    arguments = [
        argument("subject", "A request's id, or a flow: CALLER:PORT-SERVICE:PORT."),
        argument("files", "Log files of entry VMs, one or more a VM.", multiple=True),
    ]
    options = [FORMAT_OPTION]
    help = help_text(
        "Puts the lines about a request or a flow in order and says what happened. Within one\n"
        "start of an entry VM the steady clock gives the order; different VMs are placed by the\n"
        "median difference of their clocks, so they may be off by as much as those differ.",
        "trace 58ace5f36669bb93 entry-1.log entry-2.log",
        "trace 100.64.0.7:40001-198.18.0.1:443 logs/*.log",
    )

    def run_command(self) -> ExitCode:
        """Read, decide and print."""
        lines = read_logs([Path(name) for name in self.argument("files")])
        if isinstance(lines, UsageProblem):
            return self.fail(lines)
        traced = trace(self.argument("subject"), lines)
        self.emit(traced, trace_text)
        return ExitCode.DONE if traced.is_known else ExitCode.FINDINGS


def trace_text(traced: Trace) -> str:
    """Return a trace as text: the sentence, then a line for each event."""
    rows = [traced.verdict]
    for line in traced.lines:
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        rows.append(f"{line.after_ms:8d} ms  {line.source}  {line.event}  {fields}")
    return "\n".join(rows)
