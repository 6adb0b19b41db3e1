"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes that scripts can rely on."""

    DONE = 0
    FINDINGS = 1
    USAGE = 2
    PARTIAL = 3
    NO_ANSWER = 4
    INTERNAL = 70
    INTERRUPTED = 130


EXIT_CODES_HELP = """Exit codes:
  0   done, nothing to report
  1   findings: errors in files, differences, problems in the fleet, a fast or slow burn
  2   invalid command line
  3   some entry VMs gave no usable response; the report covers the others
  4   no usable response at all
  70  internal error of the command (a bug)
  130 interrupted"""


def fleet_exit_code(response_count: int, missing_count: int, has_findings: bool) -> ExitCode:
    """Return the exit code of a fleet report; missing responses take precedence over findings."""
    if response_count == 0:
        return ExitCode.NO_ANSWER
    if missing_count:
        return ExitCode.PARTIAL
    return ExitCode.FINDINGS if has_findings else ExitCode.DONE
