"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Tell scripts how a command ended."""

    DONE = 0
    FINDINGS = 1
    USAGE = 2
    PARTIAL = 3
    NO_ANSWER = 4
    INTERNAL = 70
    INTERRUPTED = 130


EXIT_CODES_HELP = """Exit codes:
  0   done, nothing to report
  1   findings: faults in the files, differences, problems of the fleet, a fast or slow burn
  2   the command was given in a wrong way
  3   some entry VMs did not answer; the report covers the others
  4   nothing answered
  70  a fault in the command itself
  130 interrupted"""


def of_replies(answered_count: int, missing_count: int, has_findings: bool) -> ExitCode:
    """Return the exit code of a report on a fleet; missing answers outweigh findings."""
    if answered_count == 0:
        return ExitCode.NO_ANSWER
    if missing_count:
        return ExitCode.PARTIAL
    return ExitCode.FINDINGS if has_findings else ExitCode.DONE
