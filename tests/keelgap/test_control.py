"""Control messages: versions side by side, noise, and strangers."""

import asyncio
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase, TestCase

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from keelgap.addresses import Address
from keelgap.conf import KeySettings
from keelgap.control.channel import ControlChannel
from keelgap.control.exceptions import MalformedMessage, NewerMajorVersion
from keelgap.control.messages import (
    Announce,
    Ask,
    Delivery,
    DocumentVersion,
    decode_message,
    encode_message,
)
from keelgap.keys import FleetKeys, load_keys
from keelgap.wire.exceptions import WireError
from keelgap_balancer.commands.example import make_keys

SENDER = Address('127.0.0.11', 7002)
ANNOUNCE = Announce({'table': DocumentVersion(3, 'abc')}, wants_reply=True)


class VersionTests(TestCase):
    """Instances are replaced a few at a time, so two versions meet."""

    def test_message_comes_back_as_it_was(self) -> None:
        """With its sender."""
        ask = Ask(
            1, True, 2, 'POST', '/runs', [(b'a', b'b')], b'c', None, 2, b''
        )
        for message in (ANNOUNCE, ask):
            frames = encode_message(SENDER, message)
            self.assertEqual(decode_message(frames), Delivery(SENDER, message))

    def test_newer_minor_version_may_add_fields(self) -> None:
        """What is not known here is ignored."""
        head, body = encode_message(SENDER, ANNOUNCE)
        newer = msgspec.msgpack.decode(body)
        newer['added_in_1_9'] = [1, 2, 3]
        frames = [
            b''.join((b'\1\x09', head[2:], b'more')),
            msgspec.msgpack.encode(newer),
        ]
        self.assertEqual(decode_message(frames), Delivery(SENDER, ANNOUNCE))

    def test_newer_major_version_is_refused(self) -> None:
        """With a type of its own, before the body is looked at."""
        head, _ = encode_message(SENDER, ANNOUNCE)
        with self.assertRaises(NewerMajorVersion):
            decode_message([b'\2' + head[1:], b'anything'])

    def test_oversized_message_is_refused(self) -> None:
        """Before it is decoded."""
        head, _ = encode_message(SENDER, ANNOUNCE)
        with self.assertRaises(MalformedMessage):
            decode_message([head, bytes(9000000)])

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=60), max_size=4))
    def test_noise_raises_only_wire_errors(self, frames: list[bytes]) -> None:
        """Whatever a holder of the key may send."""
        head, _ = encode_message(SENDER, ANNOUNCE)
        for candidate in (frames, [head, *frames]):
            with suppress(WireError):
                decode_message(candidate)


class ChannelTests(IsolatedAsyncioTestCase):
    """Only holders of the fleet's key are heard."""

    async def asyncSetUp(self) -> None:
        """Listen with the fleet's key."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.heard: list[Delivery] = []
        self.fleet = self.make_keys()
        self.listener = await self.open('127.7.0.1', self.fleet)

    def make_keys(self) -> FleetKeys:
        """Return fresh keys."""
        directory = self.stack.enter_context(TemporaryDirectory())
        make_keys(Path(directory))
        return load_keys(
            KeySettings(
                f'{directory}/connection-ids-first.key',
                f'{directory}/mac-first.key',
                f'{directory}/curve-public.key',
                f'{directory}/curve-secret.key',
            ),
        )

    async def open(self, host: str, keys: FleetKeys) -> ControlChannel:
        """Open a channel; its deliveries are kept."""
        channel = ControlChannel(
            Address(host, 7002),
            keys,
            self.heard.append,
            lambda reason: None,
        )
        await channel.start(self.stack)
        return channel

    async def test_fleet_is_heard_and_strangers_are_not(self) -> None:
        """A stranger may even know the fleet's public key."""
        member = await self.open('127.7.0.2', self.fleet)
        stranger_keys = self.make_keys()
        forged = stranger_keys._replace(curve_public=self.fleet.curve_public)
        strangers = [
            await self.open('127.7.0.3', stranger_keys),
            await self.open('127.7.0.4', forged),
        ]
        for _ in range(5):
            for channel in (member, *strangers):
                channel.send(self.listener.address, ANNOUNCE)
            await asyncio.sleep(0.1)
        senders = {delivery.sender for delivery in self.heard}
        self.assertEqual(senders, {member.address})
