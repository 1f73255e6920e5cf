"""Reports of agents between releases."""

from unittest import TestCase

from keelgap.packets.envelopes import (
    REPORT_FORMAT,
    LoadReport,
    pack_report,
    unpack_report,
)
from keelgap.packets.exceptions import MalformedEnvelope

FULL = LoadReport(
    busy=3,
    flows=70,
    answer_ms=41,
    closed=False,
    is_ejected=True,
    wants_trial=True,
    queued=2,
    work_ms=29,
)


class ReportFormatTests(TestCase):
    """A receiver gets the form that it reads."""

    def test_the_long_form_keeps_all(self) -> None:
        """Each field comes back."""
        self.assertEqual(unpack_report(pack_report(FULL, REPORT_FORMAT)), FULL)

    def test_the_short_form_is_that_of_earlier_releases(self) -> None:
        """They take an ejected upstream for a closed one."""
        content = pack_report(FULL)
        self.assertEqual(content, b'\x00\x03\x00\x46\x00\x29\x06')
        self.assertTrue(bool(content[-1]))

    def test_a_report_of_an_earlier_release_is_read(self) -> None:
        """It says nothing of what is new."""
        read = unpack_report(b'\x00\x03\x00\x46\x00\x29\x01')
        self.assertEqual(read, LoadReport(3, 70, 41, closed=True))

    def test_another_length_is_refused(self) -> None:
        """A report is never guessed from a part."""
        with self.assertRaises(MalformedEnvelope):
            unpack_report(pack_report(FULL, REPORT_FORMAT)[:-1])
