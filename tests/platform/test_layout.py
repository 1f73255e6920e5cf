"""The platform's packet layout, octet by octet."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from keelgap.packets.formats import Flags
from keelgap_platform.layout import make_packet_format

#: An opening packet from 100.64.0.7:40001 to 198.18.0.1:443.
OPENING = bytes.fromhex(
    '0000bb010700406441 9c010012c6000000004433221100000000'
    '02000000d5c3b2a1'.replace(' ', ''),
)
RESET = bytes.fromhex(
    '0000419c010012c6bb01070040640000000000000000000000004000000000000000',
)
FORMAT = make_packet_format()


class LayoutTests(TestCase):
    """The example packets of the protocol, read and written."""

    def test_opening_packet_is_read(self) -> None:
        """Addresses and ports are little-endian, flags are ours."""
        self.assertTrue(FORMAT.has_valid_length(OPENING))
        key = FORMAT.caller_key(OPENING)
        text = '100.64.0.7:40001>198.18.0.1:443'
        self.assertEqual(FORMAT.describe_key(key), text)
        self.assertEqual(FORMAT.flags(OPENING), Flags.SYN)
        self.assertEqual(FORMAT.retransmissions(OPENING), 0)
        self.assertEqual(FORMAT.sequence(OPENING), 0x11223344)
        self.assertEqual(FORMAT.source_host(OPENING), '100.64.0.7')
        self.assertEqual(
            FORMAT.route_key(OPENING),
            FORMAT.make_route_key('198.18.0.1', 443),
        )

    def test_answers_that_say_not_run_are_told_from_errors(self) -> None:
        """By a header field, or by a status of requests that never run."""
        cases = {
            b'HTTP/1.1 200 OK\r\n\r\n': False,
            b'HTTP/1.1 500 Oops\r\n\r\n': False,
            b'HTTP/1.1 503 No\r\n\r\n': False,
            b'HTTP/1.1 503 No\r\nX-Keelgap-Not-Executed: 1\r\n\r\n': True,
            b'HTTP/1.1 503 No\r\nx-keelgap-not-executed: 1\r\n\r\n': True,
            b'HTTP/1.1 421 Elsewhere\r\n\r\n': True,
            b'HTTP/1.1 429 Later\r\n\r\n': True,
            b'HTTP/1.1 200 OK\r\n\r\nX-Keelgap-Not-Executed: 1': False,
            b'more of an answer': False,
        }
        head = OPENING[: FORMAT.header_length]
        for answer, expected in cases.items():
            with self.subTest(answer):
                self.assertIs(FORMAT.says_not_run(head + answer), expected)

    def test_reset_is_that_of_the_protocol(self) -> None:
        """It comes from the route's end and acknowledges nothing."""
        self.assertEqual(FORMAT.make_reset(OPENING), RESET)

    def test_reset_is_near_what_the_caller_acknowledged(self) -> None:
        """A caller takes a reset of an open flow only from nearby."""
        octets = bytearray(OPENING)
        octets[22:26] = b'\x01\x02\x03\x04'
        reset = FORMAT.make_reset(bytes(octets))
        self.assertEqual(reset[18:22], b'\x01\x02\x03\x04')

    def test_keys_of_both_directions_agree(self) -> None:
        """The upstream's packet names the same flow."""
        self.assertEqual(
            FORMAT.upstream_key(RESET),
            FORMAT.caller_key(OPENING),
        )
        self.assertEqual(FORMAT.destination_host(RESET), '100.64.0.7')

    @settings(derandomize=True, deadline=None)
    @given(st.binary(min_size=34, max_size=80), st.integers(0, 2**32 - 1))
    def test_mark_comes_off_again(self, datagram: bytes, mark: int) -> None:
        """Only echo and the bounce flag ever change."""
        clean = FORMAT.without_bounce(datagram)
        marked = FORMAT.with_mark(clean, mark)
        self.assertEqual(FORMAT.mark(marked), mark)
        bounced = bytearray(marked)
        bounced[26] |= 1
        self.assertTrue(FORMAT.flags(bytes(bounced)) & Flags.BOUNCED)
        self.assertEqual(FORMAT.without_bounce(bytes(bounced)), clean)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=100))
    def test_length_is_checked(self, datagram: bytes) -> None:
        """Short, cut and padded datagrams are not whole."""
        stated = int.from_bytes(datagram[:2], 'little') + 34
        whole = len(datagram) >= 34 and len(datagram) == stated
        self.assertEqual(FORMAT.has_valid_length(datagram), whole)
