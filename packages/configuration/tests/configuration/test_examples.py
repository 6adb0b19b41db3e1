"""Tests of the example files of both example deployments."""

import unittest
from collections import Counter
from pathlib import Path

from fuchsiaspread_configuration import (
    MembersList,
    Settings,
    compile_parts,
    load_settings,
    parse_members,
)
from fuchsiaspread_core.configuration import Configuration, RequestKind, StreamKind
from fuchsiaspread_core.parts import Part, PartName

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
SITES = {"empresa": ("occidente", 3, "127.1."), "glenfixer": ("scot-central", 2, "127.2.")}


def compiled(user: str) -> Configuration:
    """Return the configuration of a user's example files."""
    folder = EXAMPLES / user
    base = Part(PartName.BASE, 1, (folder / "base.yaml").read_bytes())
    overlay_file = folder / "sites" / f"{SITES[user][0]}.yaml"
    outcome = compile_parts(base, Part(PartName.OVERLAY, 2, overlay_file.read_bytes()))
    assert isinstance(outcome, Configuration), outcome
    return outcome


class ExamplesTest(unittest.TestCase):
    def test_sizes_are_those_of_the_design_page(self) -> None:
        """Guards against examples that differ from the deployments on the design page."""
        for user, (site, slots, network) in SITES.items():
            with self.subTest(user=user):
                configuration = compiled(user)
                self.assertEqual(configuration.site, site)
                self.assertEqual([len(s.targets) for s in configuration.services], [7, 3])
                targets = [t for s in configuration.services for t in s.targets]
                self.assertEqual(Counter(t.slots for t in targets).most_common(1)[0][0], slots)
                self.assertEqual({t.connections for t in targets}, {2000})
                self.assertEqual(len({t.zone for t in targets}), 3)
                self.assertTrue(all(t.tunnel.host.startswith(network) for t in targets))

    def test_only_scans_are_repeatable(self) -> None:
        """Guards against examples that allow job cards, bookings or manifests to be repeated."""
        repeatable = {}
        for user in SITES:
            desk, second = compiled(user).services
            self.assertIsInstance(desk.addresses[0].kind, StreamKind)
            for address in (desk.addresses[1], second.addresses[0]):
                assert isinstance(address.kind, RequestKind)
                repeatable[user, address.endpoint.port] = address.kind.repeatable
        self.assertEqual([key for key, value in repeatable.items() if value], [("empresa", 7003)])

    def test_settings_agree_with_the_members_list(self) -> None:
        """Guards against examples in which the entry VMs have wrong addresses for each other."""
        for user, (site, _, _) in SITES.items():
            members = parse_members((EXAMPLES / user / "members.json").read_bytes())
            assert isinstance(members, MembersList), members
            for entry in members.entries:
                file = EXAMPLES / user / "entries" / f"{entry.name}.yaml"
                settings = load_settings(file.read_bytes(), str(file))
                assert isinstance(settings, Settings), settings
                self.assertEqual(settings.member(), entry.member())
                self.assertEqual((settings.admin, settings.site), (entry.admin, site))
                others = {e.member() for e in members.entries} - {entry.member()}
                self.assertEqual(set(settings.seeds), others)
            self.assertEqual(len(members.entries), 4)
            self.assertEqual(len({entry.zone for entry in members.entries}), 3)


if __name__ == "__main__":
    unittest.main()
