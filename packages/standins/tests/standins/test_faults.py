"""Tests of the link faults."""

import unittest

from fuchsiaspread_standins.internal.faults import (
    Cut,
    Delay,
    Duplicate,
    LinkFaults,
    LinkRule,
    Lose,
    Reorder,
    decode_rules,
    encode_rules,
)
from hypothesis import given, settings
from hypothesis import strategies as st

ONE, OTHER = "127.16.1.1", "127.16.1.2"
EVERY = frozenset()
FAULTS = st.one_of(
    st.just(Cut()),
    st.builds(Lose, st.floats(0, 1)),
    st.builds(Delay, st.integers(0, 500)),
    st.builds(Duplicate, st.floats(0, 1)),
    st.builds(Reorder, st.floats(0, 1), st.integers(0, 500)),
)
HOSTS = st.frozensets(st.sampled_from([ONE, OTHER]))
RULES = st.lists(st.builds(LinkRule, HOSTS, HOSTS, FAULTS), max_size=4).map(tuple)


def plans(rules, seed, count=50):
    faults = LinkFaults(seed)
    faults.rules = rules
    return [faults.plan(ONE, OTHER) for _ in range(count)]


class Plans(unittest.TestCase):
    """Guards against faults that are not reproducible or that affect other links."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(RULES, st.integers(0, 1000))
    def test_equal_seeds_give_equal_plans_also_in_another_process(self, rules, seed):
        self.assertEqual(rules, decode_rules(encode_rules(rules)))
        self.assertEqual(plans(rules, seed), plans(decode_rules(encode_rules(rules)), seed))

    def test_a_cut_holds_in_one_direction_only(self):
        faults = LinkFaults(1)
        faults.rules = (LinkRule(frozenset({ONE}), frozenset({OTHER}), Cut()),)
        self.assertEqual(((), (0,)), (faults.plan(ONE, OTHER), faults.plan(OTHER, ONE)))
        self.assertTrue(faults.is_cut(ONE, OTHER))
        self.assertFalse(faults.is_cut(OTHER, ONE))

    def test_loss_and_duplication_affect_a_share_of_the_datagrams(self):
        rules = (LinkRule(EVERY, EVERY, Lose(0.5)), LinkRule(EVERY, EVERY, Duplicate(0.5)))
        counts = {len(plan) for plan in plans(rules, seed=3)}
        self.assertEqual({0, 1, 2}, counts)

    def test_reordering_delays_some_datagrams(self):
        seen = set(plans((LinkRule(EVERY, EVERY, Reorder(0.5, 30)),), seed=3))
        self.assertEqual({(0,), (30,)}, seen)
