"""Directory of the targets: addresses that are used again."""

import unittest
from dataclasses import replace

from fuchsiaspread_core.direct import TargetPhase
from fuchsiaspread_core.direct.targets import TargetDirectory
from fuchsiaspread_core.identifiers import Endpoint, TargetName

from .site import FLOW_LIFETIME_MS, INSPECTION, target

NOW_MS = 10_000
OLD_ADDRESS, NEW_ADDRESS = Endpoint("10.128.0.1", 8080), Endpoint("10.128.0.2", 8080)


class AddressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = TargetDirectory(FLOW_LIFETIME_MS)
        self.first = target(1, endpoint=OLD_ADDRESS, started_ms=1_000)
        self.directory.put(NOW_MS, self.first)

    def _accepts(self, name: TargetName) -> bool:
        known = self.directory.by_name(name)
        assert known is not None
        return known.accepts_new_flows(NOW_MS)

    def test_restarted_target_keeps_its_flows_when_its_old_address_is_used_again(self) -> None:
        """Guards against a living target that is taken as gone.

        Pattern: a target starts again under its name at another address, and a host of another
        service gets the old address.
        """
        self.directory.put(NOW_MS, replace(self.first, endpoint=NEW_ADDRESS, started_ms=2_000))
        self.directory.put(NOW_MS, target(2, INSPECTION, endpoint=OLD_ADDRESS, started_ms=3_000))
        self.assertTrue(self._accepts(self.first.name))

    def test_target_that_moves_to_a_used_address_ends_its_former_owner(self) -> None:
        """Guards against opens to a target whose address belongs to another one now."""
        moving = target(2, INSPECTION, endpoint=NEW_ADDRESS, started_ms=1_500)
        self.directory.put(NOW_MS, moving)
        self.directory.put(NOW_MS, replace(moving, endpoint=OLD_ADDRESS, started_ms=2_000))
        self.assertFalse(self._accepts(self.first.name))
        self.assertTrue(self._accepts(moving.name))

    def test_drain_does_not_change_who_owns_an_address(self) -> None:
        """Guards against a target that ends itself with an update of its own entry."""
        self.directory.put(NOW_MS, replace(self.first, slots=5))
        self.assertTrue(self._accepts(self.first.name))
        self.directory.put(NOW_MS, replace(self.first, phase=TargetPhase.DRAINING))
        self.assertFalse(self._accepts(self.first.name))


if __name__ == "__main__":
    unittest.main()
