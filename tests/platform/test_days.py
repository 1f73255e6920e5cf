"""The days of our own, which the users' bench plays on every site."""

import tomllib
from pathlib import Path
from unittest import TestCase

FOLDER = Path(__file__).parents[2] / 'deploy' / 'days'
#: Stand for a site's first zone, service and kind of request.
PLACEHOLDERS = {'zone': '@z0', 'to_zone': '@z0', 'service': '@s0'}


class DayTests(TestCase):
    """Each file is a day that fits any site."""

    def test_each_file_holds_the_day_of_its_name(self) -> None:
        """With the entries in which it says what happens when."""
        paths = sorted(FOLDER.glob('*.toml'))
        self.assertGreaterEqual(len(paths), 8)
        for path in paths:
            with self.subTest(path.name):
                (day,) = tomllib.loads(path.read_text('utf-8'))['day']
                self.assertEqual(day['name'], path.stem)
                for entry in (*day['plan'], *day['faults']):
                    self.assertGreater(entry['at'], 0)
                    self.assertIn('kind', entry)

    def test_no_file_names_a_place_of_one_site(self) -> None:
        """Placeholders stand for them."""
        for path in FOLDER.glob('*.toml'):
            (day,) = tomllib.loads(path.read_text('utf-8'))['day']
            for entry in (*day['plan'], *day['faults']):
                for field, placeholder in PLACEHOLDERS.items():
                    named = entry.get(field, placeholder)
                    self.assertEqual(named, placeholder, path.name)
