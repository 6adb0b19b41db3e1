"""Tests of the limits of loading, of the settings file and of the members list."""

import json
import unittest
from typing import Any

import yaml
from fuchsiaspread_configuration import (
    MAX_CONTENT_BYTES,
    InvalidMembers,
    MembersList,
    Settings,
    load_settings,
    parse_members,
)
from fuchsiaspread_configuration.internal.loading import Document, load_yaml
from fuchsiaspread_core.members import MemberState
from hypothesis import given, settings
from hypothesis import strategies as st

SETTINGS: dict[str, Any] = {
    "name": "entry-1",
    "site": "occidente",
    "zone": "occidente-a",
    "fabric": {"listen": "127.0.1.1:6080", "gateway": "127.0.0.10:6080"},
    "peer": "127.0.1.1:6081",
    "control": "127.0.1.1:6082",
    "admin": "127.0.1.1:6083",
    "platform": ["127.0.0.11:8500"],
    "keys": [{"id": 1, "secret": "ab" * 32}],
}
MEMBER = {
    "name": "entry-1",
    "zone": "occidente-a",
    "peer": "127.0.1.1:6081",
    "control": "127.0.1.1:6082",
    "admin": "127.0.1.1:6083",
    "state": "leaving",
}


def settings_faults(tree: dict[str, Any]) -> dict[str, str]:
    """Return the problems by key of settings that must be rejected."""
    outcome = load_settings(yaml.safe_dump(tree).encode(), "entry-1.yaml")
    assert not isinstance(outcome, Settings)
    assert all(fault.file == "entry-1.yaml" for fault in outcome)
    return {fault.key: fault.problem for fault in outcome}


class LoadingTest(unittest.TestCase):
    def problem(self, content: bytes) -> str:
        outcome = load_yaml(content, "base")
        assert not isinstance(outcome, Document), outcome
        return outcome.faults[0].problem

    def test_invalid_content_is_a_fault(self) -> None:
        """Guards against files that cause unbounded memory use, recursion or code execution."""
        bomb = b"a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n"
        bomb += b"".join(
            b"a%d: &a%d [%s]\n" % (n, n, b",".join([b"*a%d" % (n - 1)] * 10)) for n in range(1, 9)
        )
        chain = b"a0: &a0 [x]\n"
        chain += b"".join(b"a%d: &a%d [*a%d]\n" % (n, n, n - 1) for n in range(1, 60))
        cases = {
            b" " * (MAX_CONTENT_BYTES + 1): "the limit is 1000000",
            b"\xff": "not UTF-8",
            bomb: "aliases expand",
            b"a: &a [*a]": "contains itself",
            b"a: *x": "has no anchor",
            b"a: !!set {x}": "is not known",
            b"? [a]\n: 1": "plain text",
            chain: "nested more than",
            b"[" * 500_000: "nest",
            b"[" * 30: "nested more than",
            b"a: 1\na: 2": "appears twice",
            b"a: [": "line 2, column 1",
            b"a: 2020-01-01": "is not text, a number",
            b"a: !!python/name:os.system x": "is not text, a number",
            b"1: x": "plain text",
            b"<<: {a: 1}": "plain text",
            b"--- 1\n--- 2": "another document",
            b"a: " + b"9" * 10_000: "is not text, a number",
            b"a: \x00": "",
        }
        for content, expected in cases.items():
            with self.subTest(content=content[:40]):
                self.assertIn(expected, self.problem(content))

    def test_aliases_that_stay_small_are_allowed(self) -> None:
        """Guards against rejecting an ordinary anchor."""
        outcome = load_yaml(b"a: &x {b: 1}\nc: *x", "base")
        self.assertEqual(outcome, Document("base", {"a": {"b": 1}, "c": {"b": 1}}))

    plain = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
        lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
        max_leaves=12,
    )

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(plain, st.booleans())
    def test_dumped_values_load_to_the_same_values(self, tree: Any, is_flow: bool) -> None:
        """Guards against keys, quotes, anchors or types that the builder reads incorrectly."""
        # PyYAML writes the second occurrence of an object as an alias.
        shared = {"first": tree, "second": tree}
        content = yaml.safe_dump(shared, default_flow_style=is_flow).encode()
        self.assertEqual(load_yaml(content, "base"), Document("base", shared))


class SettingsTest(unittest.TestCase):
    def test_all_faults_are_reported_and_secrets_are_not_shown(self) -> None:
        """Guards against a secret in a log line, and against reporting only one fault at a time."""
        bad = {"keys": [{"id": 1, "secret": "ab" * 31}], "peer": 6081, "log": "loud", "zonne": "a"}
        faults = settings_faults(SETTINGS | bad)
        self.assertEqual(set(faults), {"keys[0].secret", "peer", "log", "zonne"})
        self.assertNotIn("abab", faults["keys[0].secret"])
        loaded = load_settings(yaml.safe_dump(SETTINGS).encode(), "x")
        assert isinstance(loaded, Settings)
        self.assertNotIn(str(bytes.fromhex("ab" * 32))[2:-1], repr(loaded))

    def test_misplaced_secrets_are_not_shown(self) -> None:
        """Guards against a secret in a message about a wrong type or a wrong tag."""
        for text in ("{secret}", "[{secret}]", "[{{id: 1, secret: !!binary {secret}}}]"):
            for secret in ("ab" * 32, "9" * 64):
                content = yaml.safe_dump({k: v for k, v in SETTINGS.items() if k != "keys"})
                content += "keys: " + text.format(secret=secret)
                outcome = load_settings(content.encode(), "x")
                assert not isinstance(outcome, Settings)
                self.assertNotIn(secret[:8], str(outcome))

    def test_addresses_and_key_ids_are_distinct(self) -> None:
        """Guards against two sockets on one address and two keys with the same id."""
        twice = [{"id": 1, "secret": "ab" * 32}, {"id": 1, "secret": "cd" * 32}]
        faults = settings_faults(SETTINGS | {"admin": SETTINGS["control"], "keys": twice})
        self.assertEqual(set(faults), {"admin", "keys"})


class MembersTest(unittest.TestCase):
    def test_leaving_member_becomes_a_leaving_core_member(self) -> None:
        """Guards against work that is assigned to an entry VM that is leaving."""
        outcome = parse_members(json.dumps([MEMBER]).encode())
        assert isinstance(outcome, MembersList)
        self.assertEqual(outcome.entries[0].member().state, MemberState.LEAVING)
        self.assertEqual(parse_members(b"[]"), MembersList(()))

    def test_invalid_lists_are_faults(self) -> None:
        """Guards against a crash when the platform returns an invalid members list."""
        invalid = (b"", b"{}", b"[1]", b"\xff", b"[" * 100_000, b'[{"name": 1, "name": 2}]')
        for content in (*invalid, json.dumps([MEMBER, MEMBER]).encode()):
            with self.subTest(content=content[:40]):
                outcome = parse_members(content)
                self.assertIsInstance(outcome, InvalidMembers)


if __name__ == "__main__":
    unittest.main()
