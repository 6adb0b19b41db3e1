"""Tests of merging and validating a base file and an overlay, and of the faults reported."""

import unittest
from typing import Any

import yaml
from fuchsiaspread_configuration import Merged, compile_parts, merge_parts
from fuchsiaspread_core.configuration import Configuration, RequestKind, Revision, TargetState
from fuchsiaspread_core.parts import Fault, InvalidConfiguration, Part, PartName
from hypothesis import given, settings
from hypothesis import strategies as st


def service(name: str, number: int, **changes: Any) -> dict[str, Any]:
    """Return a valid service with one address and two targets."""
    target = {"zone": "zone-a"}
    values = {
        "name": name,
        "slots": 3,
        "connections": 2000,
        "addresses": [
            {"name": "work", "address": f"10.20.0.{number}:7001", "kind": "request"}
            | {"deadline_ms": 2000}
        ],
        "targets": [
            target | {"name": f"{name}-1", "tunnel": f"127.0.{number}.1:6080"},
            target | {"name": f"{name}-2", "tunnel": f"127.0.{number}.2:6080"},
        ],
    }
    return values | changes


def part(name: PartName, tree: Any, index: int = 1) -> Part:
    """Return a part that contains a tree as YAML, or the given bytes."""
    content = tree if isinstance(tree, bytes) else yaml.safe_dump(tree).encode()
    return Part(name, index, content)


def compiled(base: Any, overlay: Any) -> Configuration | InvalidConfiguration:
    """Compile two trees with base index 4 and overlay index 7."""
    return compile_parts(part(PartName.BASE, base, 4), part(PartName.OVERLAY, overlay, 7))


BASE = {"services": [service("desk", 1), service("scan", 2)]}


class MergeTest(unittest.TestCase):
    def compile(self, overlay: Any) -> Configuration:
        outcome = compiled(BASE, overlay)
        assert isinstance(outcome, Configuration), outcome
        return outcome

    def test_overlay_changes_one_target_by_name(self) -> None:
        """Guards against an overlay that replaces a whole list instead of one item."""
        change = {"name": "desk-2", "state": "draining", "slots": 1}
        merged = self.compile({"services": [{"name": "desk", "targets": [change]}]})
        first, second = merged.services[0].targets
        self.assertEqual((first.state, first.slots), (TargetState.ACTIVE, 3))
        self.assertEqual((second.state, second.slots), (TargetState.DRAINING, 1))
        self.assertEqual(merged.revision, Revision(4, 7))
        self.assertEqual(merged.services[0].addresses[0].kind, RequestKind(2000, False))

    def test_null_removes(self) -> None:
        """Guards against an overlay that cannot remove a service, a target or a key."""
        overlay = {"services": {"scan": None, "desk": {"targets": {"desk-1": None}}}}
        merged = self.compile(overlay)
        self.assertEqual([s.name for s in merged.services], ["desk"])
        self.assertEqual([t.name for t in merged.services[0].targets], ["desk-2"])
        outcome = compiled(BASE, {"services": [{"name": "desk", "slots": None}]})
        assert isinstance(outcome, InvalidConfiguration)
        self.assertEqual(outcome.faults[0].key, "services.desk.targets.desk-1.slots")

    def test_empty_overlay_changes_nothing(self) -> None:
        """Guards against rejecting a site without overlay values."""
        self.assertEqual(self.compile(b""), self.compile({}))

    def test_origin_of_each_value(self) -> None:
        """Guards against reports that give the wrong file for a value."""
        overlay = {"services": [{"name": "desk", "slots": 1, "targets": [{"name": "desk-9"}]}]}
        merged = merge_parts(part(PartName.BASE, BASE), part(PartName.OVERLAY, overlay))
        assert isinstance(merged, Merged)
        desk = ("services", "desk")
        self.assertEqual(merged.origin((*desk, "slots")), "overlay")
        self.assertEqual(merged.origin((*desk, "connections")), "base")
        self.assertEqual(merged.origin((*desk, "targets", "desk-9", "tunnel")), "overlay")
        self.assertEqual(merged.origin((*desk, "targets", "desk-1", "tunnel")), "base")


class FaultsTest(unittest.TestCase):
    def faults(self, base: Any, overlay: Any = b"") -> dict[str, Fault]:
        outcome = compiled(base, overlay)
        assert isinstance(outcome, InvalidConfiguration), outcome
        for fault in outcome.faults:
            self.assertTrue(fault.problem and fault.remedy and fault.file, fault)
        return {fault.key: fault for fault in outcome.faults}

    def one_service(self, **changes: Any) -> dict[str, Any]:
        return {"services": [service("desk", 1, **changes)]}

    def test_all_faults_are_reported_together(self) -> None:
        """Guards against an operator having to publish once per fault to find all of them."""
        extra = {"name": "desk-3", "tunnel": "1.2.3:4", "zone": 5, "weihgt": 1}
        overlay = {"services": [{"name": "desk", "slots": 0, "targets": [extra]}]}
        faults = self.faults(BASE, overlay)
        target = "services.desk.targets.desk-3"
        expected = {"services.desk.slots", f"{target}.tunnel", f"{target}.zone"}
        self.assertEqual(set(faults), expected | {f"{target}.weihgt"})
        self.assertEqual({fault.file for fault in faults.values()}, {"overlay"})
        self.assertIn("did you mean weight?", faults[f"{target}.weihgt"].remedy)

    def test_duplicate_names_are_faults(self) -> None:
        """Guards against a second entry of the same name that silently replaces the first."""
        faults = self.faults({"services": [service("desk", 1), service("desk", 2)]})
        self.assertIn("services.desk", faults)
        twice = [{"name": "desk-1"}, {"name": "desk-1"}]
        faults = self.faults(BASE, {"services": [{"name": "desk", "targets": twice}]})
        self.assertEqual(faults["services.desk.targets.desk-1"].file, "overlay")

    def test_overlapping_addresses_are_faults(self) -> None:
        """Guards against packets for one service that are forwarded to another."""
        other = service("b", 2, addresses=BASE["services"][0]["addresses"])
        faults = self.faults({"services": [service("desk", 1), other]})
        self.assertIn("desk/work", faults["services.b.addresses.work.address"].problem)

    def test_target_of_two_services_is_a_fault(self) -> None:
        """Guards against replies that are attributed to a target of another service."""
        target = {"name": "desk-1", "tunnel": "127.0.2.1:1", "zone": "a"}
        same_name = service("b", 2, targets=[target])
        faults = self.faults({"services": [service("desk", 1), same_name]})
        self.assertIn("service desk", faults["services.b.targets.desk-1"].problem)
        same_host = service("b", 2, targets=[target | {"name": "b-1", "tunnel": "127.0.1.2:9"}])
        faults = self.faults({"services": [service("desk", 1), same_host]})
        self.assertIn("desk/desk-2", faults["services.b.targets.b-1.tunnel"].problem)

    def test_bad_values_are_faults(self) -> None:
        """Guards against values that would crash a daemon or make it misbehave."""
        wrong: list[tuple[str, Any]] = [
            ("slots", 0),
            ("slots", "3"),
            ("slots", True),
            ("connections", -1),
            ("connections", 1.5),
            ("name", "Desk 1"),
            ("objective", {"unbroken_share": 1.0}),
            ("objective", {"in_time_share": "99%"}),
            ("addresses", []),
            ("targets", None),
            ("adresses", []),
        ]
        for key, value in wrong:
            with self.subTest(key=key, value=value):
                keys = self.faults({"services": [service("desk", 1) | {key: value}]})
                self.assertTrue(any(key in path for path in keys), keys)

    def test_bad_addresses_are_faults(self) -> None:
        """Guards against addresses that no socket or packet header can use."""
        no_port = ["10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:٣"]
        no_host = ["10.0.0.256:1", "desk:80", "[::1]:1", "0.0.0.0:1", "224.0.0.1:1", ":1"]
        for value in (*no_port, *no_host, "10.0.0.1:07", "10.0.0.1:80x", 7):
            address = {"name": "x", "kind": "stream", "address": value}
            with self.subTest(address=value):
                keys = self.faults(self.one_service(addresses=[address]))
                self.assertEqual(list(keys), ["services.desk.addresses.x.address"])

    def test_kind_decides_which_keys_are_known(self) -> None:
        """Guards against a request without a deadline and a stream marked as repeatable."""
        common = {"name": "x", "address": "10.0.0.1:1"}
        for change, key in (
            ({}, ""),
            ({"kind": "strem"}, ""),
            ({"kind": "request"}, ".deadline_ms"),
            ({"kind": "stream", "repeatable": True}, ".repeatable"),
        ):
            with self.subTest(change=change):
                faults = self.faults(self.one_service(addresses=[common | change]))
                self.assertEqual(list(faults), [f"services.desk.addresses.x{key}"])

    def test_site_must_be_listed(self) -> None:
        """Guards against an overlay that is published for another site."""
        self.assertIn("site", self.faults(BASE | {"sites": ["occidente"]}, {"site": "other"}))

    def test_number_of_faults_is_bounded(self) -> None:
        """Guards against a large invalid file that floods logs and status reports."""
        outcome = compiled({"services": [{"name": f"s{n}"} for n in range(400)]}, b"")
        assert isinstance(outcome, InvalidConfiguration)
        self.assertEqual(len(outcome.faults), 101)
        self.assertIn("more faults", outcome.faults[-1].problem)


class ArbitraryInputTest(unittest.TestCase):
    plain = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["services", "targets", "addresses", "name", "kind", "site", "sites"]),
            inner,
            max_size=4,
        ),
        max_leaves=20,
    )

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(plain, plain)
    def test_any_values_give_an_outcome(self, base: Any, overlay: Any) -> None:
        """Guards against files of unexpected structure that crash a daemon or a command."""
        outcome = compiled(base, overlay)
        self.assertIsInstance(outcome, InvalidConfiguration)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.binary(max_size=60))
    def test_any_bytes_give_an_outcome(self, content: bytes) -> None:
        """Guards against files that are not YAML and crash a daemon or a command."""
        self.assertIsInstance(compiled(content, content), InvalidConfiguration)


if __name__ == "__main__":
    unittest.main()
