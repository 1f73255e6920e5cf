"""Settings files: what is told of faults, and noise."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from keelgap.conf import load_settings
from keelgap.exceptions import ImproperlyConfigured
from keelgap.keys import load_keys
from keelgap_balancer.commands.example import Example, make_keys
from keelgap_balancer.conf import BalancerSettings

WORDS = st.sampled_from(
    ('[instance]', '[keys]', '[x', 'name', '=', ':', '5', '%(a)s', '\n', '\0'),
)


class SettingsTests(TestCase):
    """Every fault at once, and never another error."""

    def setUp(self) -> None:
        """Have a directory for files."""
        self.directory = Path(self.enterContext(TemporaryDirectory()))
        self.path = self.directory / 'settings.ini'

    def load(self, text: str) -> BalancerSettings:
        """Load settings from a text."""
        self.path.write_text(text, 'utf-8')
        return load_settings(str(self.path), BalancerSettings)

    def list_subjects(self, text: str) -> set[str]:
        """Return what is at fault."""
        with self.assertRaises(ImproperlyConfigured) as caught:
            self.load(text)
        return {fault.subject for fault in caught.exception.faults}

    def test_faults_of_all_sections_are_told_at_once(self) -> None:
        """Unknown, missing and wrong names."""
        text = Example().settings()
        text = text.replace('data_port = 7001', 'data_prt = 7001')
        text = text.replace('quiet_seconds = 2', 'quiet_seconds = soon')
        subjects = self.list_subjects(f'{text}\n[more]\n')
        self.assertEqual(
            subjects,
            {
                'listen.data_prt',
                'listen.data_port',
                'drain.quiet_seconds',
                '[more]',
            },
        )

    def test_key_files_are_checked_with_their_lengths(self) -> None:
        """A short key and a key id without a file."""
        make_keys(self.directory / 'keys')
        text = Example().settings()
        text = text.replace('= keys/', f'= {self.directory}/keys/')
        loaded = self.load(text.replace('[keys]', '[keys]\nmac_sign = 2'))
        (self.directory / 'keys' / 'connection-ids-first.key').write_text('00')
        with self.assertRaises(ImproperlyConfigured) as caught:
            load_keys(loaded.keys)
        subjects = {fault.subject for fault in caught.exception.faults}
        self.assertEqual(
            subjects,
            {'keys.connection_ids_first', 'keys.mac_sign'},
        )

    def test_missing_file_is_a_fault(self) -> None:
        """No traceback, the path is told."""
        with self.assertRaises(ImproperlyConfigured) as caught:
            load_settings(str(self.directory / 'none.ini'), BalancerSettings)
        self.assertIn('none.ini', str(caught.exception))

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.lists(WORDS, max_size=12).map(''.join) | st.binary(max_size=40))
    def test_noise_is_a_fault(self, noise: str | bytes) -> None:
        """Only the typed error is raised."""
        raw = noise.encode() if isinstance(noise, str) else noise
        self.path.write_bytes(raw)
        with self.assertRaises(ImproperlyConfigured):
            load_settings(str(self.path), BalancerSettings)
