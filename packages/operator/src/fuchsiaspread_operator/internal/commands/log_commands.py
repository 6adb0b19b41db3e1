"""Commands on log files of entry VMs: trace."""

from pathlib import Path

from cleo.helpers import argument

from ..decide.tracing import Trace, trace
from ..exit_codes import ExitCode
from ..gather.logs import read_logs
from ..outcomes import UsageProblem
from .base import FORMAT_OPTION, ReportCommand, help_text


class TraceCommand(ReportCommand):
    """Trace a request or a flow through log files."""

    name = "trace"
    description = "Trace a request or a flow through log files of entry VMs."
    arguments = [
        argument("subject", "A request's id, or a flow: CALLER:PORT-SERVICE:PORT."),
        argument("files", "Log files of entry VMs, one or more per VM.", multiple=True),
    ]
    options = [FORMAT_OPTION]
    help = help_text(
        "Sorts the lines about a request or a flow by time and sums up what happened. Lines of\n"
        "one process run are sorted by its monotonic clock. Runs of different VMs are aligned by\n"
        "their wall clocks, so their relative times may be off by the skew between those.",
        "trace 58ace5f36669bb93 entry-1.log entry-2.log",
        "trace 100.64.0.7:40001-198.18.0.1:443 logs/*.log",
    )

    def run_command(self) -> ExitCode:
        """Read the logs and print the trace."""
        lines = read_logs([Path(name) for name in self.argument("files")])
        if isinstance(lines, UsageProblem):
            return self.fail(lines)
        traced = trace(self.argument("subject"), lines)
        self.emit(traced, trace_text)
        return ExitCode.DONE if traced.is_known else ExitCode.FINDINGS


def trace_text(traced: Trace) -> str:
    """Format a trace: the verdict, then one line for each event."""
    rows = [traced.verdict]
    for line in traced.lines:
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        rows.append(f"{line.after_ms:8d} ms  {line.source}  {line.event}  {fields}")
    return "\n".join(rows)
