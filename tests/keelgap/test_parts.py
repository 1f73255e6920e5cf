"""A table that is too long for one value of the service."""

import asyncio
from contextlib import AsyncExitStack
from random import Random
from unittest import IsolatedAsyncioTestCase, TestCase

import aiohttp
import msgspec

from experiments.slopes import make_table
from keelgap.addresses import Address
from keelgap.conf import ConfigServiceSettings
from keelgap.dissemination.document_reader import DocumentReader
from keelgap.exceptions import TableRefused
from keelgap.table.loader import MAX_DOCUMENT_LENGTH, load_table
from keelgap.table.parts import PartMismatch, join_parts, split_table
from keelgap_standins.config_service import ConfigService

ROWS = 17000
_HOST = '127.5.5.5'
_PORT = 8500


class PartTests(TestCase):
    """Splitting and joining."""

    def test_table_of_the_size_to_design_for_fits_in_parts(self) -> None:
        """17,000 rows, each part under 1 MiB, nothing lost."""
        content = make_table(ROWS).content
        with self.assertRaises(TableRefused):
            load_table(content)
        divided = split_table(content, 'table')
        longest = max(map(len, divided.parts.values()))
        self.assertLess(longest, MAX_DOCUMENT_LENGTH)
        self.assertLess(len(divided.manifest), MAX_DOCUMENT_LENGTH)
        whole = join_parts(divided.manifest, divided.parts)
        self.assertEqual(
            msgspec.json.decode(whole),
            msgspec.json.decode(content),
        )

    def test_wrong_part_is_noticed(self) -> None:
        """A half-written table is never joined."""
        divided = split_table(make_table(20).content, 'table')
        key = next(iter(divided.parts))
        for values in ({}, {key: b'{}'}):
            with self.assertRaises(PartMismatch):
                join_parts(divided.manifest, values)


class ReaderTests(IsolatedAsyncioTestCase):
    """The reader follows a manifest, and waits for missing parts."""

    async def test_manifest_ahead_of_its_parts_is_read_when_they_come(
        self,
    ) -> None:
        """Nothing half-written is handed on."""
        documents: list[bytes] = []
        async with AsyncExitStack() as stack:
            service = ConfigService()
            await service.start(Address(_HOST, _PORT), stack)
            session = await stack.enter_async_context(aiohttp.ClientSession())
            reader = DocumentReader(
                session,
                ConfigServiceSettings(f'http://{_HOST}:{_PORT}'),
                Random(1),
                lambda key, content: documents.append(content),
            )
            watch = asyncio.create_task(reader.watch('table'))
            stack.callback(watch.cancel)
            divided = split_table(make_table(20).content, 'table')
            for key in divided.parts:
                service.put(key, b'{}')
            service.put('table', divided.manifest)
            await asyncio.sleep(0.2)
            self.assertEqual(documents, [])
            for key, part in divided.parts.items():
                service.put(key, part)
            async with asyncio.timeout(10):
                while not documents:
                    await asyncio.sleep(0.05)
        decoded = msgspec.json.decode(documents[0])
        self.assertEqual(len(decoded['upstreams']), 20)
