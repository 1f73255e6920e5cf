"""Whether an upstream runs already when its agent starts."""

import socket
from unittest import TestCase, mock

from keelgap.addresses import Address
from keelgap_agent.packets.upstream_probe import is_upstream_down


class UpstreamProbeTests(TestCase):
    """Only a refused connection says that nothing runs."""

    def test_upstream_that_listens_is_not_down(self) -> None:
        """Whether or not it accepts in time."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = Address(*listener.getsockname())
            self.assertFalse(is_upstream_down(address))

    def test_address_where_nothing_listens_is_down(self) -> None:
        """The machine refuses at once."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = Address(*listener.getsockname())
        self.assertTrue(is_upstream_down(address))

    def test_silence_and_other_errors_leave_it_open(self) -> None:
        """The upstream may be frozen, or have too many connections."""
        address = Address('127.0.0.1', 9)
        for error in (TimeoutError(), OSError('unreachable')):
            with (
                self.subTest(error),
                mock.patch('socket.socket.connect', side_effect=error),
            ):
                self.assertFalse(is_upstream_down(address))
