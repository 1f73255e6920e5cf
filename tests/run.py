"""Run all tests and close with their count.

Tests that fail for a known fault stand in KNOWN-RED.txt at the root, a line
each: the test's id, the cause, the issue.  Only these may fail; they are
printed with their outcome.  One that passes again must leave the list, unless
its line says ``flaky`` behind the id: it fails only sometimes.
"""

import faulthandler
import sys
import unittest
from collections.abc import Iterable
from pathlib import Path
from typing import Final, NamedTuple

#: Seconds after which a run whose present test hangs prints its stacks and
#: ends.
_LONGEST_TEST: Final = 600


class KnownRed(NamedTuple):
    """One test that may fail."""

    test: str
    #: Whether it passes at times, too.
    is_flaky: bool


def read_known_red(path: Path) -> tuple[KnownRed, ...]:
    """Return the tests that may fail."""
    if not path.exists():
        return ()
    lines = path.read_text('utf-8').splitlines()
    return tuple(_parse_known_red(line) for line in lines if line)


def _parse_known_red(line: str) -> KnownRed:
    columns = [column.strip() for column in line.split(',')]
    return KnownRed(columns[0], columns[1:2] == ['flaky'])


def find_wrong(known: Iterable[KnownRed], failed: set[str]) -> set[str]:
    """Return failures that are not listed, and listed ones that are over."""
    unlisted = failed.difference(red.test for red in known)
    over = {
        red.test for red in known if not red.is_flaky and red.test not in failed
    }
    return unlisted | over


def describe_outcome(red: KnownRed, failed: set[str]) -> str:
    """Return a line about a test that may fail."""
    if red.test in failed:
        state = 'known red'
    elif red.is_flaky:
        state = 'known flaky, passed'
    else:
        state = 'green again: take it out'
    return f'{state}: {red.test}'


def list_failed(outcome: unittest.TestResult) -> set[str]:
    """Return the ids of the tests that failed, without their subtests."""
    failed = (*outcome.failures, *outcome.errors)
    return {case.id().split(' ')[0] for case, _ in failed}


class _GuardedResult(unittest.TextTestResult):
    """Ends the run if a test takes too long."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Give each test its own time."""
        faulthandler.dump_traceback_later(_LONGEST_TEST, exit=True)
        super().startTest(test)


def main() -> int:
    """Return the exit status."""
    faulthandler.dump_traceback_later(_LONGEST_TEST, exit=True)
    root = Path(__file__).parent
    known = read_known_red(root.parent / 'KNOWN-RED.txt')
    suite = unittest.defaultTestLoader.discover(
        str(root),
        top_level_dir=str(root.parent),
    )
    runner = unittest.TextTestRunner(verbosity=1, resultclass=_GuardedResult)
    outcome = runner.run(suite)
    failed = list_failed(outcome)
    for red in sorted(known):
        print(describe_outcome(red, failed))  # noqa: WPS421
    wrong = find_wrong(known, failed)
    passed = outcome.testsRun - len(failed) - len(outcome.skipped)
    print(f'{passed} passed, {len(wrong)} failed')  # noqa: WPS421
    return 0 if passed and not wrong else 1


if __name__ == '__main__':
    sys.exit(main())
