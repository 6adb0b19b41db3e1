"""Directory of the targets: entries that name the address, cookie or id of another target."""

import unittest
from dataclasses import replace

from fuchsiaspread_core.direct import (
    DirectCore,
    ForwardPacket,
    RoutesPublished,
    TargetPhase,
    TargetPublished,
    TargetRemoved,
    TargetsListed,
    TargetWithdrawn,
)
from fuchsiaspread_core.direct.first_holders import FirstHolders
from fuchsiaspread_core.direct.known_target import AddressClaim, KnownTarget, cookie_of
from fuchsiaspread_core.direct.targets import TargetDirectory
from fuchsiaspread_core.identifiers import Endpoint, ServiceName, TargetName

from .site import (
    FLOW_LIFETIME_MS,
    INSPECTION,
    SCAN_ADDRESS,
    Site,
    flow_packet,
    is_reset_of,
    routes,
    target,
)

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

    def _claim(self, name: TargetName) -> AddressClaim:
        known = self.directory.by_name(name)
        assert known is not None
        return known.claim

    def _answer(self, name: TargetName) -> None:
        known = self.directory.by_name(name)
        assert known is not None
        self.directory.record_answer(known)

    def test_target_that_moves_to_a_used_address_ends_its_former_owner(self) -> None:
        """Guards against opens to a target whose address belongs to another one now."""
        moving = target(2, INSPECTION, endpoint=NEW_ADDRESS, started_ms=1_500)
        self.directory.put(NOW_MS, moving)
        self.directory.put(NOW_MS, replace(moving, endpoint=OLD_ADDRESS, started_ms=2_000))
        self.assertEqual(self._claim(self.first.name), AddressClaim.CONTESTED)
        self._answer(moving.name)
        self.assertFalse(self._accepts(self.first.name))
        self.assertTrue(self._accepts(moving.name))

    def test_target_that_answers_keeps_its_address(self) -> None:
        """Guards against a live target that is given up because of an entry that is not true."""
        foreign = target(2, endpoint=OLD_ADDRESS, started_ms=2_000)
        self.directory.put(NOW_MS, foreign)
        self.directory.put(NOW_MS, replace(foreign, slots=9))
        self._answer(self.first.name)
        self.assertEqual(self._claim(self.first.name), AddressClaim.SOLE)
        self.directory.put(NOW_MS, replace(foreign, slots=8))
        self.assertEqual(self._claim(self.first.name), AddressClaim.SOLE)

    def test_removed_entry_leaves_no_doubt_about_an_address(self) -> None:
        """Guards against a target that stays the last resort after a false entry has gone."""
        foreign = target(2, endpoint=OLD_ADDRESS, started_ms=2_000)
        for _ in range(2):
            self.directory.put(NOW_MS, foreign)
            self.assertEqual(self._claim(self.first.name), AddressClaim.CONTESTED)
            self.directory.remove(NOW_MS, foreign.name)
            self.assertEqual(self._claim(self.first.name), AddressClaim.SOLE)

    def test_drain_does_not_change_who_owns_an_address(self) -> None:
        """Guards against a target that ends itself with an update of its own entry."""
        self.directory.put(NOW_MS, replace(self.first, slots=5))
        self.assertTrue(self._accepts(self.first.name))
        self.directory.put(NOW_MS, replace(self.first, phase=TargetPhase.DRAINING))
        self.assertFalse(self._accepts(self.first.name))


class NumbersTest(unittest.TestCase):
    """Cookies and packet ids that two targets share."""

    def setUp(self) -> None:
        # Both names have the same cookie; the second one is the smaller name.
        self.first = target(1, name=TargetName("i-8a9cbbc1bd"), started_ms=1_000)
        self.second = target(2, name=TargetName("i-49f63fb565"), started_ms=2_000)
        self.cookie = cookie_of(self.first.name)
        self.assertEqual(cookie_of(self.second.name), self.cookie)

    def _holder(self, directory: TargetDirectory) -> TargetName | None:
        known = directory.by_cookie(self.cookie)
        return None if known is None else known.name

    def test_new_target_does_not_take_over_the_cookie_of_a_live_one(self) -> None:
        """Guards against all open flows of a target that go to a new one, which resets them."""
        directory = TargetDirectory(FLOW_LIFETIME_MS)
        directory.put(NOW_MS, self.first)
        directory.put(NOW_MS, self.second)
        self.assertEqual(self._holder(directory), self.first.name)
        second = directory.by_name(self.second.name)
        assert second is not None
        self.assertFalse(directory.has_own_numbers(second))
        directory.remove(NOW_MS, self.first.name)
        self.assertEqual(self._holder(directory), self.first.name)
        directory.remove_expired(NOW_MS + FLOW_LIFETIME_MS + 1)
        self.assertEqual(self._holder(directory), self.second.name)
        self.assertTrue(directory.has_own_numbers(second))

    def test_entry_vm_that_reads_both_gives_the_cookie_to_the_older_target(self) -> None:
        """Guards against entry VMs that resolve one cookie differently after a restart."""
        for order in ((self.first, self.second), (self.second, self.first)):
            site = Site(order)
            self.assertEqual(self._holder(site.core.targets), self.first.name)

    def test_second_name_for_a_packet_id_gets_no_flows(self) -> None:
        """Guards against an open of one service that a host of another one takes.

        Pattern: another writer names a live host's address, and its id in another spelling, under
        a second service. The host takes each packet with its number.
        """
        site = Site((target(9, INSPECTION, packet_id=9), target(1, packet_id=1)))
        copy = TargetName("x-0000000001")
        site.handle(
            TargetPublished(
                target(1, INSPECTION, name=copy, packet_id=1, started_ms=9_000, slots=99)
            )
        )
        opened = {site.open(number, SCAN_ADDRESS).target for number in range(30)}
        self.assertEqual(opened, {target(9).name})

    def test_numbers_pass_on_in_the_order_of_arrival(self) -> None:
        """Guards against a number that nobody holds, or that a target which has left keeps."""
        holders = FirstHolders()
        first, second, third = (KnownTarget(target(number), 1, 0) for number in (1, 2, 3))
        for known in (first, second, third):
            holders.add(5, known)
        holders.discard(5, second)
        self.assertIs(holders.get(5), first)
        holders.discard(5, first)
        self.assertIs(holders.get(5), third)
        holders.discard(5, third)
        self.assertIsNone(holders.get(5))


class UnusableEntriesTest(unittest.TestCase):
    """Entries that describe no target to use."""

    def setUp(self) -> None:
        self.site = Site()
        self.live = {one.name for one in self.site.targets}

    def test_entry_of_an_unrouted_service_has_no_say(self) -> None:
        """Guards against a live host out of use because of an entry of an unknown service.

        Pattern: review/2, all hosts of a service at once; here also a colliding cookie.
        """
        for number, one in enumerate(self.site.targets):
            foreign = target(
                100 + number,
                ServiceName("inventory"),
                endpoint=one.endpoint,
                started_ms=9_000,
                packet_id=number,
            )
            self.site.handle(TargetPublished(foreign))
        claims = {known.name: known.claim for known in self.site.core.targets}
        self.assertEqual(claims, dict.fromkeys(self.live, AddressClaim.SOLE))

    def test_entry_is_used_once_a_route_names_its_service(self) -> None:
        """Guards against a host that registers before the configuration that sends work to it."""
        site = Site((target(1), target(9, INSPECTION)))
        site.handle(RoutesPublished(routes(2, without=["scan"])))
        early = target(8, INSPECTION, packet_id=8)
        # The service of the other host was known before; its targets stay known.
        site.handle(TargetPublished(early))
        self.assertIsNone(site.core.targets.by_name(early.name))
        self.assertIsNotNone(site.core.targets.by_name(target(9).name))
        site.handle(RoutesPublished(routes(3)))
        opened = {site.open(number, SCAN_ADDRESS).target for number in range(30)}
        self.assertEqual(opened, {early.name, target(9).name})

    def test_targets_read_before_the_first_configuration_are_used(self) -> None:
        """Guards against a start that ignores the hosts because it reads them first."""
        core = DirectCore(7, FLOW_LIFETIME_MS, stop_grace_ms=6_000)
        core.handle(NOW_MS, TargetsListed(self.site.targets))
        core.handle(NOW_MS, RoutesPublished(routes()))
        self.assertEqual({known.name for known in core.targets}, self.live)

    def test_overwritten_entry_takes_no_open_flow_away(self) -> None:
        """Guards against resets of a live target's flows because its entry cannot be read.

        Pattern: another writer leaves bytes that cannot be read under a host's key; the host is
        busy with one long request and writes its entry only when that changes.
        """
        placed = self.site.open(1)
        self.site.answer(1, placed.cookie)
        request = flow_packet(1, placed.cookie, 1, 500, 100)
        self.site.handle(request)
        others = tuple(one for one in self.site.targets if one.name != placed.target)
        for start, event in (
            (100, TargetWithdrawn(placed.target)),
            (200, TargetsListed(others, unusable=(placed.target,))),
        ):
            self.site.handle(event)
            (forward,) = self.site.handle(request, 3_000)
            self.assertIsInstance(forward, ForwardPacket)
            opened = {self.site.open(number).target for number in range(start, start + 30)}
            self.assertNotIn(placed.target, opened)
        # Once the entry has gone, its target is gone after the usual time, and never used again.
        self.site.handle(TargetRemoved(placed.target))
        opened = {self.site.open(number).target for number in range(300, 330)}
        self.assertNotIn(placed.target, opened)
        self.assertTrue(is_reset_of(self.site.handle(request, 3_000), 1))

    def test_overwritten_entry_that_is_written_again_is_used(self) -> None:
        """Guards against a host that stays out of use after another writer's mistake."""
        first = self.site.targets[0]
        self.site.handle(TargetWithdrawn(first.name))
        self.site.handle(TargetPublished(first))
        opened = {self.site.open(number).target for number in range(30)}
        self.assertIn(first.name, opened)


if __name__ == "__main__":
    unittest.main()
