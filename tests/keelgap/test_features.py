"""Which decisions settings and agreed terms call for."""

import tempfile
from pathlib import Path
from typing import NamedTuple
from unittest import TestCase

from keelgap.conf import load_settings
from keelgap.exceptions import ImproperlyConfigured
from keelgap.packets.features import (
    NO_FEATURES,
    DeploymentTerm,
    FeatureMode,
    Features,
    FeatureSettings,
    resolve_features,
)
from keelgap_platform.adapter import parse_terms


class _Settings(NamedTuple):
    features: FeatureSettings


class ChoosingFeaturesTests(TestCase):
    """Settings go before terms."""

    def test_nothing_is_called_for_without_terms(self) -> None:
        """A deployment that states none is served as before."""
        self.assertEqual(
            resolve_features(FeatureSettings(), set()), NO_FEATURES
        )

    def test_health_calls_for_all_but_admission(self) -> None:
        """Overload alone calls for refusals."""
        chosen = resolve_features(
            FeatureSettings(), {DeploymentTerm.UPSTREAM_HEALTH}
        )
        self.assertEqual(chosen, Features(True, True, True, admission=False))

    def test_overload_calls_for_admission_alone(self) -> None:
        """What upstreams say of themselves is another matter."""
        settings = FeatureSettings(admission=FeatureMode.AUTO)
        chosen = resolve_features(settings, {DeploymentTerm.OVERLOAD})
        self.assertEqual(chosen, Features(admission=True))

    def test_early_refusal_is_off_unless_asked_for(self) -> None:
        """Whatever was agreed on."""
        self.assertFalse(
            resolve_features(FeatureSettings(), set(DeploymentTerm)).admission
        )

    def test_settings_override_terms(self) -> None:
        """Operators can turn each decision on and off."""
        settings = FeatureSettings(
            ejection=FeatureMode.OFF, admission=FeatureMode.ON
        )
        chosen = resolve_features(settings, {DeploymentTerm.UPSTREAM_HEALTH})
        self.assertFalse(chosen.ejection)
        self.assertTrue(chosen.admission)
        self.assertTrue(chosen.placement)

    def test_adapter_reads_its_own_words(self) -> None:
        """Words that call for nothing, and unknown ones, are passed over."""
        self.assertEqual(parse_terms(''), frozenset())
        self.assertEqual(
            parse_terms('base, health,pressure,other'),
            frozenset(DeploymentTerm),
        )


class FeatureFileTests(TestCase):
    """The section in a settings file."""

    def load(self, text: str) -> FeatureSettings:
        """Return the section of a file with some lines."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'settings.ini'
            path.write_text(f'[features]\n{text}')
            return load_settings(str(path), _Settings).features

    def test_choices_are_read(self) -> None:
        """Each of the three words is one."""
        loaded = self.load('ejection = off\nplacement = on\nterms = a,b\n')
        self.assertEqual(loaded.ejection, FeatureMode.OFF)
        self.assertEqual(loaded.placement, FeatureMode.ON)
        self.assertEqual(loaded.scheduling, FeatureMode.AUTO)
        self.assertEqual(loaded.terms, 'a,b')

    def test_another_word_is_a_fault(self) -> None:
        """The fault names the setting."""
        with self.assertRaises(ImproperlyConfigured) as caught:
            self.load('ejection = maybe\n')
        self.assertIn('features.ejection', str(caught.exception))
