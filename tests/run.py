"""Run all tests and close with their count."""

import faulthandler
import sys
import unittest
from pathlib import Path
from typing import Final

#: Seconds after which a hanging run prints its stacks and ends.
_LONGEST: Final = 280


def main() -> int:
    """Return the exit status."""
    faulthandler.dump_traceback_later(_LONGEST, exit=True)
    root = Path(__file__).parent
    suite = unittest.defaultTestLoader.discover(
        str(root),
        top_level_dir=str(root.parent),
    )
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(outcome.failures) + len(outcome.errors)
    passed = outcome.testsRun - failed - len(outcome.skipped)
    print(f'{passed} passed, {failed} failed')  # noqa: WPS421
    return 0 if outcome.wasSuccessful() and passed else 1


if __name__ == '__main__':
    sys.exit(main())
