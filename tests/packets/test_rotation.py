"""Balancers with thin links beside others with wide ones.

The pattern: zones with two links of 100 Mbit/s and one or two of 7, uploads of
80 KB, and routers that share flows evenly.  On days without any trouble at
full load the thin links lost a seventh of the uploads, with processors at 4 %
and slots free; without them in rotation none.
"""

from itertools import repeat
from unittest import TestCase

from keelgap_balancer.packets import defaults
from keelgap_balancer.packets.balancer_infos import (
    BalancerInfo,
    BalancerInfoTable,
)
from keelgap_balancer.packets.rotation import Rotation, has_slow_link

ZONE = 1
WIDE = 100
THIN = 7


def make_place(number: int, link: int) -> BalancerInfo:
    """Return a balancer of the zone."""
    return BalancerInfo(f'10.1.0.{number}', 1, ZONE, link)


def list_yielding(links: list[int]) -> list[int]:
    """Return the links of those that stay out of rotation."""
    places = [make_place(number, link) for number, link in enumerate(links)]
    return [
        own.link_megabits
        for own in places
        if has_slow_link(own, [one for one in places if one is not own])
    ]


class LinkTests(TestCase):
    """Who leaves callers to whom."""

    def test_thin_links_yield_to_two_wide_ones(self) -> None:
        """One of the wide ones may be lost."""
        self.assertEqual(list_yielding([WIDE, WIDE, THIN]), [THIN])
        self.assertEqual(list_yielding([WIDE, WIDE, THIN, THIN]), [THIN, THIN])
        self.assertEqual(list_yielding([WIDE, THIN, THIN]), [])

    def test_half_of_a_zone_stays_in_rotation(self) -> None:
        """With fewer the routers would use all, and more flows move."""
        for thin in range(8):
            links = [WIDE, WIDE, *repeat(THIN, thin)]
            yielding = list_yielding(links)
            self.assertLessEqual(len(yielding), len(links) // 2)
        self.assertEqual(len(list_yielding([WIDE, WIDE, THIN, THIN, THIN])), 2)

    def test_links_that_differ_little_all_serve(self) -> None:
        """So do all where no link is known."""
        self.assertEqual(list_yielding([100, 100, 50, 30]), [])
        self.assertEqual(list_yielding([0, 0, 0]), [])
        self.assertEqual(list_yielding([WIDE, WIDE, 0]), [])

    def test_one_that_takes_no_callers_is_no_wide_link(self) -> None:
        """It stops, is cut off, or has no catalog yet."""
        self.assertEqual(list_yielding([WIDE, 0, THIN]), [])


class RotationTests(TestCase):
    """How often the decision changes."""

    def setUp(self) -> None:
        """Start a balancer with a thin link."""
        self.now: float = 0
        self.rotation = Rotation(self.now)
        self.own = make_place(1, THIN)

    def update(self, *links: int) -> bool:
        """Decide beside others with these links."""
        others = [
            make_place(number, link) for number, link in enumerate(links, 2)
        ]
        return self.rotation.update(self.own, others, self.now)

    def test_it_yields_after_a_while_and_serves_at_once(self) -> None:
        """Routers move flows each time, but callers must not wait."""
        self.assertFalse(self.update(WIDE, WIDE))
        self.now += defaults.WITHDRAW_DELAY_SECONDS
        self.assertTrue(self.update(WIDE, WIDE))
        self.assertFalse(self.update(WIDE, 0))

    def test_a_wide_link_that_flaps_does_not_move_flows(self) -> None:
        """The thin one serves until it has stayed for long enough."""
        for _ in range(20):
            self.now += defaults.WITHDRAW_DELAY_SECONDS / 2
            self.assertFalse(self.update(WIDE, WIDE))
            self.now += defaults.WITHDRAW_DELAY_SECONDS / 4
            self.assertFalse(self.update(WIDE, 0))


class PlacesTests(TestCase):
    """How balancers hear of each other's links."""

    def test_news_pass_through_others(self) -> None:
        """Each is passed on some times, the latest first."""
        first, second, third = (
            BalancerInfoTable(f'10.1.0.{number}', 'a', 5)
            for number in (1, 2, 3)
        )
        first.update_own_link(WIDE)
        second.merge(first.take_updates())
        third.merge(second.take_updates())
        (other,) = third.list_in_zone({'10.1.0.1'})
        self.assertEqual(other.link_megabits, WIDE)
        for _ in range(100):
            rows = second.take_updates()
        self.assertEqual(rows, (second.own,))

    def test_older_news_change_nothing(self) -> None:
        """They may come another way round."""
        first = BalancerInfoTable('10.1.0.1', 'a', 5)
        first.update_own_link(WIDE)
        before = first.take_updates()
        first.update_own_link(0)
        other = BalancerInfoTable('10.1.0.2', 'a', 5)
        other.merge(first.take_updates())
        other.merge(before)
        self.assertEqual(other.list_in_zone({'10.1.0.1'})[0].link_megabits, 0)

    def test_only_those_of_the_zone_that_live_count(self) -> None:
        """Others tell of them for a while."""
        far = BalancerInfoTable('10.1.0.1', 'b', 5)
        near = BalancerInfoTable('10.1.0.3', 'a', 5)
        own = BalancerInfoTable('10.1.0.2', 'a', 5)
        own.merge((
            *far.take_updates(),
            *near.take_updates(),
            *own.take_updates(),
        ))
        self.assertEqual(own.list_in_zone({'10.1.0.1'}), [])
        alive = {'10.1.0.1', '10.1.0.2', '10.1.0.3'}
        (other,) = own.list_in_zone(alive)
        self.assertEqual(other.host, '10.1.0.3')
        own.forget(['10.1.0.3'])
        self.assertEqual(own.list_in_zone(alive), [])
