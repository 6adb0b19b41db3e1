"""Parser of the scenario language."""

from dataclasses import dataclass
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedInput, UnexpectedToken

from ..internal.faults import Delay, Duplicate, Lose, Reorder
from ..internal.publishing import Activate, Drain, MakeInvalid, Remove, SetWeight
from ..internal.serving import BeSilent, ResetOpens, Restart, Serve
from ..internal.serving import Drain as DrainTarget
from ..platform import Down, Healthy, Slow, Stale
from . import steps

GRAMMAR = r"""
line: "deployment" NAME                                               -> deployment
    | "load" INT "streams" "on" NAME "every" duration                 -> load_streams
    | "load" INT "requests" "on" NAME "working" duration "over" duration -> load_requests
    | "change" "drain" NAME                                           -> change_drain
    | "change" "activate" NAME                                        -> change_activate
    | "change" "weight" "of" NAME "to" INT                            -> change_weight
    | "change" "remove" NAME                                          -> change_remove
    | "change" "invalid"                                              -> change_invalid
    | "fault" "kill" NAME                                             -> fault_kill
    | "fault" "stop" NAME                                             -> fault_stop
    | "fault" "start" NAME                                            -> fault_start
    | "fault" "freeze" NAME                                           -> fault_freeze
    | "fault" "thaw" NAME                                             -> fault_thaw
    | "fault" "isolate" NAME                                          -> fault_isolate
    | "fault" "hide" "platform" "from" NAME                           -> fault_hide
    | "fault" "heal"                                                  -> fault_heal
    | "fault" "lose" INT "%"                                          -> fault_lose
    | "fault" "duplicate" INT "%"                                     -> fault_duplicate
    | "fault" "reorder" INT "%" "by" duration                         -> fault_reorder
    | "fault" "delay" "by" duration                                   -> fault_delay
    | "fault" "platform" condition                                    -> fault_platform
    | "fault" "target" NAME behaviour                                 -> fault_target
    | "fault" "target" NAME "claims" INT "busy"                       -> fault_load
    | "wait" duration                                                 -> wait_time
    | "wait" "for" "streams"                                          -> wait_streams
    | "wait" "for" "requests"                                         -> wait_requests
    | "wait" "for" "revision"                                         -> wait_revision
    | "expect" "broken" "streams" "at" "most" INT                     -> expect_streams
    | "expect" "broken" "requests" "at" "most" INT                    -> expect_requests
    | "expect" "answers" "at" "least" INT                             -> expect_answers
    | "expect" "refusals" "at" "least" INT                            -> expect_refusals
    | "expect" "quiet" NAME                                           -> expect_quiet
    | "expect" "refused" "revision"                                   -> expect_refused_revision
!condition: "down" | "stale" | "healthy" | "slow" "by" duration
!behaviour: "silent" | "resets" | "drains" | "restarts" | "serves"
duration: INT UNIT
UNIT: "ms" | "s"
NAME: /[a-z][a-z0-9]*(-[a-z0-9]+)+|[a-z]+/
%import common.INT
%import common.WS_INLINE
%ignore WS_INLINE
"""
COMMENT = "#"
MS_PER_SECOND = 1000
CONDITIONS = {"down": Down(), "stale": Stale(), "healthy": Healthy()}
BEHAVIOURS = {
    "silent": BeSilent(),
    "resets": ResetOpens(),
    "drains": DrainTarget(),
    "restarts": Restart(),
    "serves": Serve(),
}


@dataclass(frozen=True, slots=True)
class InvalidScenario:
    """Report a line of a scenario that cannot be parsed, and why."""

    line: int
    text: str
    problem: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """Name the example deployment that a scenario runs on."""

    example: str


# Builds a step from the parsed children of each grammar rule.
STEP_BUILDERS = {
    "deployment": Deployment,
    "load_streams": steps.LoadStreams,
    "load_requests": steps.LoadRequests,
    "change_drain": lambda target: steps.ChangeFiles(Drain(target)),
    "change_activate": lambda target: steps.ChangeFiles(Activate(target)),
    "change_weight": lambda target, weight: steps.ChangeFiles(SetWeight(target, weight)),
    "change_remove": lambda target: steps.ChangeFiles(Remove(target)),
    "change_invalid": lambda: steps.ChangeFiles(MakeInvalid()),
    "fault_kill": steps.KillEntry,
    "fault_stop": steps.StopEntry,
    "fault_start": steps.StartEntry,
    "fault_freeze": steps.FreezeEntry,
    "fault_thaw": steps.ThawEntry,
    "fault_isolate": steps.IsolateZone,
    "fault_hide": steps.HidePlatform,
    "fault_heal": steps.HealLinks,
    "fault_lose": lambda percent: steps.AddLinkFault(Lose(percent / 100)),
    "fault_duplicate": lambda percent: steps.AddLinkFault(Duplicate(percent / 100)),
    "fault_reorder": lambda percent, by_ms: steps.AddLinkFault(Reorder(percent / 100, by_ms)),
    "fault_delay": lambda by_ms: steps.AddLinkFault(Delay(by_ms)),
    "fault_platform": steps.SetPlatformCondition,
    "fault_target": steps.SetTargetBehaviour,
    "fault_load": steps.ClaimLoad,
    "wait_time": steps.WaitTime,
    "wait_streams": steps.WaitStreams,
    "wait_requests": steps.WaitRequests,
    "wait_revision": steps.WaitRevision,
    "expect_streams": steps.ExpectBrokenStreams,
    "expect_requests": steps.ExpectBrokenRequests,
    "expect_answers": steps.ExpectAnswers,
    "expect_refusals": steps.ExpectRefusals,
    "expect_quiet": steps.ExpectQuiet,
    "expect_refused_revision": steps.ExpectRefusedRevision,
}


class _StepBuilder(Transformer[Token, Any]):
    """Transform the parse tree of a line into a step."""

    def __default__(self, data: Token, children: list[Any], meta: Any) -> Any:
        match str(data):
            case "duration":
                number, unit = children
                return number * (MS_PER_SECOND if unit == "s" else 1)
            case "condition":
                return Slow(children[-1]) if len(children) > 1 else CONDITIONS[str(children[0])]
            case "behaviour":
                return BEHAVIOURS[str(children[0])]
            case rule:
                return STEP_BUILDERS[rule](*children)

    def __default_token__(self, token: Token) -> Any:
        return int(token) if token.type == "INT" else str(token)


_PARSER = Lark(GRAMMAR, parser="lalr", start="line")


def parse_scenario(text: str) -> steps.Scenario | InvalidScenario:
    """Return the parsed scenario, or the first line that cannot be parsed."""
    example = ""
    found: list[steps.NumberedStep] = []
    for number, line in enumerate(text.splitlines(), start=1):
        content = line.partition(COMMENT)[0].strip()
        if not content:
            continue
        try:
            step = _StepBuilder().transform(_PARSER.parse(content))
        except UnexpectedInput as error:
            return InvalidScenario(number, content, _explain(error, content))
        if isinstance(step, Deployment):
            example = step.example
        else:
            found.append(steps.NumberedStep(number, content, step))
    if not example:
        return InvalidScenario(1, "", "no `deployment` line; add one, such as `deployment empresa`")
    return steps.Scenario(example, tuple(found))


def _explain(error: UnexpectedInput, content: str) -> str:
    if isinstance(error, UnexpectedToken) and error.token.type == "$END":
        return "unexpected end of the line"
    return f"unexpected: {content[error.column - 1 :]}"
