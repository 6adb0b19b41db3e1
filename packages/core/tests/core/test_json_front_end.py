"""Tests of the entry core behind a JSON front end: decisions must not depend on the encoding."""

import json
import unittest
from pathlib import Path
from typing import Any

from fuchsiaspread_core.configuration import (
    Objective,
    RequestKind,
    Service,
    ServiceAddress,
    Target,
    TargetState,
)
from fuchsiaspread_core.events import (
    CallerData,
    CallerOpen,
    MembersPublished,
    PartPublished,
    TargetAccept,
    TargetClose,
    Tick,
)
from fuchsiaspread_core.identifiers import Endpoint, flow_key
from fuchsiaspread_core.members import Member
from fuchsiaspread_core.parts import Part, PartName

from . import json_front_end
from .json_front_end import JsonFrontEnd, encode, run

JOB_CARDS = Endpoint("10.20.0.1", 7002)
TUNNEL = Endpoint("127.0.2.1", 6080)
FLOW = flow_key(Endpoint("10.30.0.1", 20_000), JOB_CARDS)
CALLER_TOKEN, TARGET_TOKEN = 1000, 5000
MEMBERS = tuple(
    Member(f"entry-{n}", f"zone-{n}", Endpoint(f"127.0.1.{n}", 1), Endpoint(f"127.0.1.{n}", 2))
    for n in (1, 2)
)
SERVICES = (
    Service(
        "order-desk",
        (ServiceAddress(JOB_CARDS, RequestKind(deadline_ms=2000, repeatable=False)),),
        (Target("desk-1", TUNNEL, "zone-1", 1, TargetState.ACTIVE, 1, 10),),
        Objective(0.999, 0.99, 3600),
    ),
)


def line(event: object, now_ms: int = 0) -> str:
    """Return a line with an event."""
    return json.dumps({"now_ms": now_ms, "event": encode(event)})


def relay_fields(effect: dict[str, Any]) -> dict[str, Any]:
    """Return the fields that a relay adds to the event of its packet."""
    return {"payload": effect["payload"], "relay": effect["relay"]}


class TwoCores:
    """Two front ends that exchange lines; the payload of a packet is its own event as JSON."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.outputs: list[dict[str, Any]] = []
        self.front_ends = {
            member.name: JsonFrontEnd(json.dumps({"member": encode(member), "seed": n}))
            for n, member in enumerate(MEMBERS)
        }
        content = json.dumps(encode(SERVICES)).encode()
        for name in self.front_ends:
            self.deliver(name, encode(PartPublished(Part(PartName.BASE, 1, content))))
            self.deliver(name, encode(PartPublished(Part(PartName.OVERLAY, 1, b""))))
            self.deliver(name, encode(MembersPublished(MEMBERS)))
        # A new entry VM waits up to 1 s for records from its peers before it decides opens.
        for _ in range(20):
            self.now_ms += 100
            for name in self.front_ends:
                self.deliver(name, encode(Tick()))

    def deliver(self, name: str, event: dict[str, Any]) -> None:
        """Pass an event to a core, and the messages that it sends to its peer on to that one."""
        text = json.dumps({"now_ms": self.now_ms, "event": event})
        for effect in map(json.loads, self.front_ends[name].handle_line(text)):
            self.outputs.append({"from": name} | effect)
            match effect["type"]:
                case "SendToPeer":
                    packet = json.loads(bytes.fromhex(effect["payload"]))
                    self.deliver(effect["peer"], packet | relay_fields(effect))
                case "SendControl":
                    control = {"type": "ControlReceived", "sender": name}
                    self.deliver(effect["peer"], control | {"message": effect["message"]})
                case "SendRecords":
                    self.deliver(
                        effect["peer"], effect | {"type": "RecordsReceived", "sender": name}
                    )

    def send_packet(self, name: str, event: Any) -> list[tuple[str, str]]:
        """Deliver a packet to a core; return the effects of both cores, except notices."""
        self.outputs.clear()
        data = encode(event)
        data["payload"] = json.dumps(data).encode().hex()
        self.deliver(name, data)
        return [(one["from"], one["type"]) for one in self.outputs if one["type"] != "Notify"]

    def notices(self) -> list[str]:
        """Return the names of the notices of the last packet."""
        return [one["notice"]["type"] for one in self.outputs if one["type"] == "Notify"]


class JsonFrontEndTest(unittest.TestCase):
    def test_flow_opens_answers_and_closes_over_two_cores(self) -> None:
        """Guards against decisions that depend on how the daemon encodes packets."""
        cores = TwoCores()
        opened = cores.send_packet("entry-2", CallerOpen(FLOW, CALLER_TOKEN, b""))
        self.assertEqual(opened, [("entry-2", "SendToPeer"), ("entry-1", "SendToTarget")])
        accept = TargetAccept(FLOW, TARGET_TOKEN, CALLER_TOKEN + 1, TUNNEL.host, b"")
        accepted = cores.send_packet("entry-2", accept)
        self.assertEqual(accepted[0], ("entry-2", "SendToPeer"))
        self.assertEqual(accepted[-1][1], "SendToCaller")
        self.assertIn("FlowOpened", cores.notices())
        asked = cores.send_packet("entry-1", CallerData(FLOW, TARGET_TOKEN + 1, b""))
        self.assertEqual(asked, [("entry-1", "SendToTarget")])
        closed = cores.send_packet("entry-1", TargetClose(FLOW, TUNNEL.host, b""))
        self.assertEqual(closed[-1][1], "SendToCaller")
        self.assertIn("FlowEnded", cores.notices())

    def test_slot_of_a_closed_flow_serves_the_next_one(self) -> None:
        """Guards against a slot that stays busy because the end of its flow was lost."""
        cores = TwoCores()
        other = flow_key(Endpoint("10.30.0.2", 20_000), JOB_CARDS)
        cores.send_packet("entry-1", CallerOpen(FLOW, CALLER_TOKEN, b""))
        self.assertEqual(cores.send_packet("entry-1", CallerOpen(other, 1, b"")), [])
        accept = TargetAccept(FLOW, TARGET_TOKEN, CALLER_TOKEN + 1, TUNNEL.host, b"")
        cores.send_packet("entry-1", accept)
        closed = cores.send_packet("entry-1", TargetClose(FLOW, TUNNEL.host, b""))
        self.assertIn(("entry-1", "SendToTarget"), closed)

    def test_malformed_line_is_reported(self) -> None:
        """Guards against a front end that exits on the first malformed line."""
        first = json.dumps({"member": encode(MEMBERS[0]), "seed": 1})
        bad = ["no JSON", '{"now_ms": 1, "event": {"type": "Unheard"}}', '{"now_ms": "x"}']
        printed = [json.loads(text) for text in run([first, *bad, line(Tick())])]
        self.assertEqual([one["type"] for one in printed[:3]], ["InvalidLine"] * 3)

    def test_adapter_stays_under_150_lines(self) -> None:
        """Guards against logic that moves from the core into the front end."""
        source = Path(json_front_end.__file__).read_text(encoding="utf-8")
        self.assertLess(len(source.splitlines()), 150)


if __name__ == "__main__":
    unittest.main()
