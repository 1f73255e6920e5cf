"""Which tests may fail, and only these."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from tests.run import list_failed, read_known_red


def fail(case: unittest.TestCase) -> None:
    """Fail in three subtests."""
    for number in range(3):
        with case.subTest(number):
            case.fail()


class KnownRedTests(unittest.TestCase):
    """The list at the root of the repository."""

    def test_first_column_names_the_test(self) -> None:
        """Cause and issue follow; without the file there are none."""
        with TemporaryDirectory() as folder:
            path = Path(folder, 'KNOWN-RED.txt')
            self.assertEqual(read_known_red(path), frozenset())
            path.write_text('a.B.test_c, a real fault, issue 8\n\n')
            self.assertEqual(read_known_red(path), {'a.B.test_c'})

    def test_failures_and_subtests_count_by_their_test(self) -> None:
        """An error in any part of it is one failed test."""
        # A class of this module would be run as a test of its own.
        sample_type = type('Sample', (unittest.TestCase,), {'runTest': fail})
        outcome = unittest.TestResult()
        sample: unittest.TestCase = sample_type()
        sample.run(outcome)
        self.assertEqual(len(outcome.failures), 3)
        self.assertEqual(list_failed(outcome), {sample.id()})
