"""Words that belong to the platform or to one deployment stay at the edge."""

import re
from pathlib import Path
from unittest import TestCase

ROOT = Path(__file__).parents[2]
#: What ``platform/`` and ``deploy/`` translate, as on the wire.
WIRE_WORDS = (
    'AllowStale',
    'Backends',
    'Concurrency',
    'Contracts',
    'DataAddr',
    'EcmpHash',
    'HeartbeatMs',
    'InternalPorts',
    'MaxConns',
    'SloMs',
    'TimeoutMs',
    'Tombstone',
    'WarmupLeftMs',
    'WarmupPerS',
    'X-Keelgap',
    'kv-range',
    'kv-watch',
    'op/config',
    'op/evacuate',
    'servers/',
)
#: The code serves deployments that it does not know, and tells no story of
#: its tuning.
NAMES = (
    'bench',
    'demirkol',
    'edspa',
    'fjordflis',
    'hizlitur',
    'kathmandu',
    'mesalista',
    'sunvale',
    r'(quiet|scale|trouble)-\d',
)


class WordsTests(TestCase):
    """Where words may stand."""

    def test_platform_words_stay_at_the_edge(self) -> None:
        """No package of ours speaks them."""
        self.find_nothing(WIRE_WORDS, 'packages/*/src/**/*.py')

    def test_no_deployment_is_named_in_code(self) -> None:
        """Nor is a day, or the bench."""
        for sources in ('packages/*/src/**/*.py', 'platform/src/**/*.py'):
            self.find_nothing(NAMES, sources, re.IGNORECASE)
        self.find_nothing(NAMES, 'deploy/*.*', re.IGNORECASE)

    def find_nothing(
        self,
        words: tuple[str, ...],
        sources: str,
        flags: int = 0,
    ) -> None:
        """Fail for each file in which a word stands."""
        pattern = re.compile('|'.join(words), flags)
        paths = [path for path in ROOT.glob(sources) if path.is_file()]
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path=str(path.relative_to(ROOT))):
                found = pattern.search(path.read_text('utf-8'))
                self.assertIsNone(found, found)
